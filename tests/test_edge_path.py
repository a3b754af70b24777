"""End-to-end tests on real processes: MySQL clients, two nodes, a group of three."""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import aiohttp
import asyncmy
import pymysql
import pytest
import pytest_asyncio

from bramblebeam.lab.bench.cluster import GROUP, MEMBERS, ROWS, SERVICE, bench_scenario, prepare
from bramblebeam.lab.cluster import Cluster
from bramblebeam.lab.processes import process_group
from bramblebeam.lab.rows import OPERATOR_TOKEN

pytestmark = pytest.mark.asyncio(loop_scope="module")

ROAMING_MOVES = 30
LAG_MS = 60
SENT_AND_LOST = 9312
"""Error code: the connection was lost, and the statement may have run. See docs/errors.md."""
TRAVEL_SECONDS = 0.2
"""Ample time for a write to reach a paused node's socket; nothing is measured by it."""
OWNER_POLLS = 100


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def cluster(tmp_path_factory: pytest.TempPathFactory) -> AsyncIterator[Cluster]:
    directory: Path = tmp_path_factory.mktemp("path")
    async with process_group(directory) as processes:
        made = Cluster(bench_scenario(2), processes)
        await made.start()
        await prepare(made)
        yield made


def connect(cluster: Cluster, node: int, attributes: dict[str, str] | None = None) -> Any:
    host, port = list(cluster.clients.values())[node]
    connection = pymysql.connect(
        host=host,
        port=port,
        user=SERVICE,
        database=GROUP,
        autocommit=True,
        ssl_disabled=True,
        defer_connect=True,
    )
    connection._connect_attrs.update(attributes or {})
    connection.connect()
    return connection


def query(connection: Any, sql: str, arguments: Any = None) -> Any:
    with connection.cursor() as cursor:
        cursor.execute(sql, arguments)
        return cursor.fetchall()


async def test_features_with_pymysql(cluster: Cluster) -> None:
    await asyncio.to_thread(_features, cluster)


def _features(cluster: Cluster) -> None:
    connection = connect(cluster, 0)
    query(connection, "CREATE TABLE f (id INTEGER PRIMARY KEY AUTO_INCREMENT, v VARCHAR(50))")
    with connection.cursor() as cursor:
        values = ("it's", "ünï")
        assert cursor.execute("INSERT INTO f (v) VALUES (%s), (%s)", values) == 2
        assert cursor.lastrowid == 1
    assert query(connection, "SELECT v FROM f ORDER BY id") == (("it's",), ("ünï",))
    assert query(connection, "SELECT LAST_INSERT_ID()") == ((1,),)
    with pytest.raises(pymysql.err.IntegrityError) as caught:
        query(connection, "INSERT INTO f (id, v) VALUES (1, 'again')")
    assert caught.value.args[0] == 1062
    connection.begin()
    query(connection, "UPDATE f SET v = 'changed' WHERE id = 1")
    assert connection.server_status & 1
    assert query(connection, "SELECT v FROM f WHERE id = 1") == (("changed",),)
    connection.rollback()
    assert not connection.server_status & 1
    assert query(connection, "SELECT v FROM f WHERE id = 1") == (("it's",),)
    connection.autocommit(False)
    query(connection, "UPDATE f SET v = 'kept' WHERE id = 1")
    connection.commit()
    assert query(connection, "SELECT v FROM f WHERE id = 1") == (("kept",),)


async def test_features_with_asyncmy(cluster: Cluster) -> None:
    host, port = list(cluster.clients.values())[1]
    connection = await asyncmy.connect(host=host, port=port, user=SERVICE, db=GROUP)
    async with connection.cursor() as cursor:
        changed = await cursor.execute("UPDATE stops SET v = %s WHERE k = %s", ("async", "k3"))
        assert changed == 1
        await connection.commit()
        await cursor.execute("SELECT v FROM stops WHERE k = %s", ("k3",))
        assert await cursor.fetchall() == (("async",),)
        await connection.rollback()
        await cursor.execute("SELECT a.k FROM stops a JOIN stops b")
        assert len(await cursor.fetchall()) == ROWS**2
    connection.close()


async def test_request_with_an_id_runs_once_through_any_node(cluster: Cluster) -> None:
    await asyncio.to_thread(_run_once, cluster)


def _run_once(cluster: Cluster) -> None:
    first, second = connect(cluster, 0), connect(cluster, 1)
    query(first, "CREATE TABLE confirmations (id INTEGER PRIMARY KEY AUTO_INCREMENT)")
    sql = "/* bramblebeam_request=stop-9 */ INSERT INTO confirmations (id) VALUES (NULL)"
    for connection in (first, first, second):
        try:
            query(connection, sql)
        except pymysql.MySQLError as error:
            assert error.args[0] == 9214, "only a verdict of having run is right"
    assert query(second, "SELECT COUNT(*) FROM confirmations") == ((1,),)


@pytest.mark.parametrize("carries_token", [False, True])
async def test_roaming_session_reads_its_writes_from_lagging_replicas(
    cluster: Cluster, carries_token: bool
) -> None:
    await _set_lag(cluster, LAG_MS)
    try:
        await asyncio.to_thread(_roam, cluster, carries_token)
    finally:
        await _set_lag(cluster, 0)


async def _set_lag(cluster: Cluster, lag_ms: int) -> None:
    async with aiohttp.ClientSession() as http:
        for instance in MEMBERS[1:]:
            url = f"{cluster.control_url(instance)}/faults"
            async with http.post(url, json={"lag_ms": lag_ms}) as response:
                assert response.status == 200


def _roam(cluster: Cluster, carries_token: bool) -> None:
    token = ""
    for move in range(ROAMING_MOVES):
        attributes = {"bramblebeam_session": "driver-7"}
        if carries_token:
            attributes["bramblebeam_token"] = token
        connection = connect(cluster, move % 2, attributes)
        if move:
            rows = query(connection, "SELECT v FROM stops WHERE k = 'k7'")
            assert rows == ((f"move {move - 1}",),)
        query(connection, "UPDATE stops SET v = %s WHERE k = 'k7'", (f"move {move}",))
        token = query(connection, "SELECT @@bramblebeam_token")[0][0]
        connection.close()


async def test_write_sent_to_a_dying_node_is_in_doubt_and_the_next_one_is_not(
    tmp_path: Path,
) -> None:
    """Under load, a node sent a write to the primary's owner before it read that the owner's stream
    had ended, so that the outcome was uncertain. Pausing the owner first makes this certain."""
    async with process_group(tmp_path) as processes:
        pair = Cluster(bench_scenario(2), processes)
        await pair.start()
        await prepare(pair)
        owner = await _owner_of_primary(pair)
        caller = next(at for at, node in enumerate(pair.clients) if node != owner)
        other = await asyncio.to_thread(connect, pair, caller)
        pair.nodes[owner].pause()
        sql = "UPDATE stops SET v = 'doubted' WHERE k = 'k8'"
        write = asyncio.ensure_future(asyncio.to_thread(query, other, sql))
        await asyncio.sleep(TRAVEL_SECONDS)
        pair.nodes[owner].kill()
        with pytest.raises(pymysql.MySQLError) as caught:
            await write
        assert caught.value.args[0] == SENT_AND_LOST
        await asyncio.to_thread(_until_run, other, sql, uncertain=0)


async def test_killed_node_leaves_nothing_of_a_transaction(cluster: Cluster) -> None:
    connection = await asyncio.to_thread(connect, cluster, 1)
    await asyncio.to_thread(query, connection, "BEGIN")
    await asyncio.to_thread(query, connection, "UPDATE stops SET v = 'lost' WHERE k = 'k9'")
    node = list(cluster.clients)[1]
    cluster.nodes[node].kill()
    with pytest.raises(pymysql.MySQLError):
        await asyncio.to_thread(query, connection, "COMMIT")
    other = await asyncio.to_thread(connect, cluster, 0)
    sql = "UPDATE stops SET v = 'free again' WHERE k = 'k9'"
    await asyncio.to_thread(_until_run, other, sql)
    rows = await asyncio.to_thread(query, other, "SELECT v FROM stops WHERE k = 'k9'")
    assert rows == (("free again",),)


async def _owner_of_primary(cluster: Cluster) -> str:
    """Return the node that owns the primary, once it has taken it over."""
    url = f"{cluster.admin_url(next(iter(cluster.clients)))}/api/v1/groups/{GROUP}"
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    async with aiohttp.ClientSession(headers=headers) as http:
        for _ in range(OWNER_POLLS):
            async with http.get(url) as response:
                members = (await response.json())["members"]
            held = [member for member in members if member.get("role") == "primary"]
            if held:
                return str(held[0]["owner"])
            await asyncio.sleep(TRAVEL_SECONDS)
    raise AssertionError("no node owns the primary")


def _until_run(connection: Any, sql: str, uncertain: int = 1) -> None:
    """Repeat a statement that certainly did not run; the killed node's instances need a new owner.

    `uncertain`: how many first attempts may end in doubt, as the node may not have read yet that
    the killed node's stream has ended. Once it has, it sends nothing there.
    """
    for attempt in range(50):
        try:
            query(connection, sql)
        except pymysql.MySQLError as error:
            code = error.args[0]
            is_sent = code == SENT_AND_LOST and attempt < uncertain
            assert is_sent or 9100 <= code < 9200 or code in (1205, 1213), str(error)
        else:
            return
    raise AssertionError("the row is still locked after 50 attempts")
