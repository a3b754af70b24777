"""MySQL functions by the state that they use, and keywords that may precede a parenthesis."""


def _words(text: str) -> frozenset[str]:
    return frozenset(text.split())


READ_ONLY_FUNCTIONS = _words(
    """
    abs acos adddate addtime aes_decrypt aes_encrypt any_value ascii asin atan atan2 avg bin
    bin_to_uuid bit_and bit_count bit_length bit_or bit_xor cast ceil ceiling char char_length
    character_length charset coalesce coercibility collation compress concat concat_ws conv convert
    convert_tz cos cot count crc32 cume_dist curdate current_date current_time current_timestamp
    curtime date date_add date_format date_sub datediff day dayname dayofmonth dayofweek dayofyear
    degrees dense_rank elt exp export_set extract extractvalue field find_in_set first_value floor
    format format_bytes from_base64 from_days from_unixtime get_format greatest group_concat
    grouping hex hour if ifnull inet6_aton inet6_ntoa inet_aton inet_ntoa insert instr interval
    is_ipv4 is_ipv6 is_uuid isnull json_array json_array_append json_array_insert json_arrayagg
    json_contains json_contains_path json_depth json_extract json_insert json_keys json_length
    json_merge_patch json_merge_preserve json_object json_objectagg json_overlaps json_pretty
    json_quote json_remove json_replace json_schema_valid json_search json_set json_storage_size
    json_table json_type json_unquote json_valid json_value lag last_day last_value lcase lead
    least left length ln localtime localtimestamp locate log log10 log2 lower lpad ltrim make_set
    makedate maketime max md5 microsecond mid min minute mod month monthname now nth_value ntile
    nullif oct octet_length ord percent_rank period_add period_diff pi point polygon position pow
    power quarter quote radians rand rank regexp_instr regexp_like regexp_replace regexp_substr
    repeat replace reverse right round row row_number rpad rtrim sec_to_time second sha sha1 sha2
    sign sin sleep soundex space sqrt st_asgeojson st_asbinary st_astext st_contains st_distance
    st_distance_sphere st_geomfromgeojson st_geomfromtext st_intersects st_latitude st_length
    st_longitude st_makeenvelope st_pointfromtext st_srid st_within st_x st_y std stddev stddev_pop
    stddev_samp str_to_date strcmp subdate substr substring substring_index subtime sum sysdate tan
    time time_format time_to_sec timediff timestamp timestampadd timestampdiff to_base64 to_days
    to_seconds trim truncate ucase uncompress unhex unix_timestamp upper utc_date utc_time
    utc_timestamp uuid uuid_to_bin var_pop var_samp variance version week weekday weekofyear
    weight_string year yearweek database schema user current_user session_user connection_id
    """
)

WORDS_BEFORE_PARENTHESIS = _words(
    """
    all and any as between binary by case char decimal distinct div double else except exists
    float for from group having in index inner intersect is join key left like limit not null
    numeric nchar offset on or order outer over partition regexp right rlike rows select set some
    straight_join then union use using value values when where with xor
    """
)

CONNECTION_FUNCTIONS = frozenset({"last_insert_id", "row_count", "found_rows"})
"""Functions whose value depends on the previous statement of the back-end connection."""

LOCK_FUNCTIONS = frozenset({"get_lock", "release_lock", "release_all_locks"})
"""Functions whose locks would outlive the statement on a shared back-end connection."""
