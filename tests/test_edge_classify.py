"""Statement classification, request hints and causal tokens."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bramblebeam.core.identity import GroupId, Position
from bramblebeam.core.routing.classify import Action, Classifier
from bramblebeam.core.routing.shape import is_request_id, request_hint, shape_of
from bramblebeam.core.session.token import CausalToken, decode_token

CASES = {
    "SELECT a FROM t WHERE b = 'it''s' AND c = 3 -- FOR UPDATE": Action.READ,
    "/* x */ SELECT COUNT(*) FROM t WHERE id IN (1, 2)": Action.READ,
    "WITH x AS (SELECT 1) SELECT * FROM x": Action.READ,
    "(SELECT 1) UNION ALL (SELECT 2)": Action.READ,
    "SHOW TABLES": Action.READ,
    "EXPLAIN SELECT 1": Action.READ,
    "EXPLAIN ANALYZE SELECT 1": Action.WRITE,
    "DESC t": Action.READ,
    "DESCRIBE UPDATE t SET a = 1": Action.WRITE,
    "SELECT a FROM t FOR UPDATE": Action.WRITE,
    "SELECT a FROM t FOR SHARE": Action.WRITE,
    "SELECT a FROM t LOCK IN SHARE MODE": Action.WRITE,
    "SELECT unknown_function(a) FROM t": Action.WRITE,
    "SELECT levenshtein(a, b) FROM t": Action.WRITE,
    "SELECT `count`(a) FROM t": Action.WRITE,
    "SELECT app.count(a) FROM t": Action.WRITE,
    "SELECT a INTO @x FROM t": Action.WRITE,
    "SELECT a FROM t INTO OUTFILE 'f'": Action.WRITE,
    "SELECT /*!50000 f(), */ 1": Action.WRITE,
    "WITH x AS (SELECT 1) DELETE FROM t": Action.WRITE,
    "CALL p()": Action.WRITE,
    "INSERT INTO t VALUES (1)": Action.WRITE,
    "REPLACE INTO t VALUES (1)": Action.WRITE,
    "garbage that is no SQL": Action.WRITE,
    "SELECT 'unterminated": Action.WRITE,
    "SAVEPOINT a": Action.WRITE,
    "ROLLBACK TO SAVEPOINT a": Action.WRITE,
    "ROLLBACK": Action.ROLLBACK,
    "START TRANSACTION READ ONLY": Action.BEGIN,
    "BEGIN": Action.BEGIN,
    "COMMIT;": Action.COMMIT,
    "COMMIT AND CHAIN": Action.REFUSE,
    "SELECT 1; DROP TABLE t": Action.REFUSE,
    "SELECT RELEASE_LOCK('a')": Action.REFUSE,
    "CREATE TEMPORARY TABLE t (a INT)": Action.REFUSE,
    "SELECT @@autocommit, LAST_INSERT_ID()": Action.SELECT_LOCAL,
    "": Action.EMPTY,
    "/* only a comment */": Action.EMPTY,
}


@pytest.mark.parametrize(("sql", "action"), CASES.items())
def test_classification(sql: str, action: Action) -> None:
    classifier = Classifier()
    assert classifier.classify(sql).action is action
    assert classifier.classify(sql.lower()).action is action


def test_connection_functions_need_a_transaction() -> None:
    classifier = Classifier()
    assert classifier.classify("INSERT INTO t SELECT LAST_INSERT_ID()").needs_connection
    assert classifier.classify("SELECT @x FROM t").needs_connection
    assert not classifier.classify("INSERT INTO t VALUES ('a@b')").needs_connection


@given(st.text(max_size=30))
def test_literal_does_not_change_shape(text: str) -> None:
    quoted = "'" + text.replace("\\", "\\\\").replace("'", "''") + "'"
    assert shape_of(f"SELECT a FROM t WHERE b = {quoted}") == "SELECT a FROM t WHERE b = ?"


@given(st.text(max_size=60))
def test_arbitrary_text_is_classified(text: str) -> None:
    assert Classifier().classify(text).action in Action
    assert Classifier().classify("SELECT " + text).action in Action


def test_request_hint() -> None:
    assert request_hint("/* bramblebeam_request=a-1:b */ UPDATE t SET a = 1") == "a-1:b"
    assert request_hint("UPDATE t SET a = 1") is None


def test_request_hint_in_literal_is_ignored() -> None:
    assert request_hint("UPDATE t SET a = '/* bramblebeam_request=x */'") is None
    assert request_hint('UPDATE t SET a = "/* bramblebeam_request=x */"') is None
    assert request_hint("UPDATE t SET a = '\\'/* bramblebeam_request=x */'") is None


@pytest.mark.parametrize(
    ("text", "valid"), [("a" * 128, True), ("a" * 129, False), ("a b", False), ("", False)]
)
def test_request_id_validation(text: str, valid: bool) -> None:
    assert is_request_id(text) is valid


@given(st.dictionaries(st.text(min_size=1, max_size=9), st.integers(1, 10**9), max_size=5))
def test_token_round_trip(groups: dict[str, int]) -> None:
    token = CausalToken({GroupId(name): Position(3, at) for name, at in groups.items()})
    decoded = decode_token(token.encode()).ok
    assert {group: decoded.position(group) for group in decoded} == {
        group: token.position(group) for group in token
    }


@pytest.mark.parametrize(
    "text", ["x", "a=1", "a=1.x", "a=-1.2", "=1.2", "a=1.2;b=1.2", "a" * 5_000]
)
def test_malformed_token_is_rejected(text: str) -> None:
    assert decode_token(text).is_error()


def test_token_positions_do_not_decrease() -> None:
    token = CausalToken()
    token.advance(GroupId("g"), Position(2, 5))
    token.advance(GroupId("g"), Position(1, 9))
    assert token.position(GroupId("g")) == Position(2, 5)
