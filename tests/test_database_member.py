"""Members of a stand-in group over real sockets: SQL, transactions, locks, terms and faults."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from bramblebeam.core.identity import Address, InstanceId
from bramblebeam.edges.backend import BackendConnection, ConnectError, StatementError
from bramblebeam.lab.database.control import ControlServer, Faults
from bramblebeam.lab.database.member import DatabaseMember, MemberSettings

LOOPBACK = Address("127.0.0.1", 0)


class Group:
    """Members of one group in this process."""

    def __init__(self, members: list[DatabaseMember]) -> None:
        self.members = members
        self.controls = [ControlServer(member, LOOPBACK) for member in members]

    def endpoint_list(self) -> str:
        return ",".join(_endpoint(member) for member in self.members)

    async def promote(self, index: int, term: int, without: tuple[int, ...] = ()) -> None:
        for number, member in enumerate(self.members):
            if number not in without:
                await self.run(member, f"CALL bramblebeam.promise({term})")
        chosen = self.members[index]
        await self.run(chosen, f"CALL bramblebeam.promote({term}, '{self.endpoint_list()}')")

    async def run(self, member: DatabaseMember, sql: str) -> Any:
        connection = await connect(member, "control")
        try:
            return await connection.execute(sql)
        finally:
            await connection.close()

    def fault(self, index: int, **faults: Any) -> None:
        self.controls[index].apply(Faults(**faults))


def _endpoint(member: DatabaseMember) -> str:
    return f"{member.me}={member.address.host}:{member.address.port}"


@contextlib.asynccontextmanager
async def group_of(size: int, **settings: Any) -> AsyncIterator[Group]:
    members = [
        DatabaseMember(MemberSettings(InstanceId(f"db{number}"), **settings))
        for number in range(size)
    ]
    group = Group(members)
    for member, control in zip(members, group.controls, strict=True):
        await member.start()
        await control.start()
    try:
        yield group
    finally:
        for member, control in zip(members, group.controls, strict=True):
            await control.stop()
            await member.stop()


async def connect(
    member: DatabaseMember, user: str = "app", program: str = ""
) -> BackendConnection:
    return await BackendConnection.connect(member.address, user, "", program, 5.0, "depot")


async def wait_until(check: Any) -> None:
    for _ in range(2_500):
        if check():
            return
        await asyncio.sleep(0.002)
    raise AssertionError("condition not met in time")


async def refused(connection: BackendConnection, sql: str) -> int:
    with pytest.raises(StatementError) as failure:
        await connection.execute(sql)
    return failure.value.code


async def test_writes_reach_replicas_and_carry_positions() -> None:
    async with group_of(3) as group:
        await group.promote(0, 1)
        primary = await connect(group.members[0])
        await primary.execute(
            "CREATE TABLE t (id INT AUTO_INCREMENT PRIMARY KEY, v VARCHAR(9), KEY k (v)) ENGINE=x"
        )
        result = await primary.execute("INSERT INTO t (v) VALUES ('a'), ('it''s \\n')")
        assert (result.affected_rows, result.last_insert_id) == (2, 1)
        assert result.info == "position=1:3"
        await wait_until(lambda: group.members[1].status().applied.offset == 3)
        replica = await connect(group.members[1])
        rows = (await replica.execute("SELECT id, v FROM t WHERE id > 0 ORDER BY id")).rows
        assert rows == ((1, "a"), (2, "it's \n"))
        assert await refused(replica, "INSERT INTO t (v) VALUES ('b')") == 3101
        status = await replica.execute("SHOW BRAMBLEBEAM STATUS")
        names = [column.name for column in status.columns]
        row = dict(zip(names, status.rows[0], strict=True))
        assert (row["role"], row["term"], row["primary"]) == ("replica", 1, "db0")
        confirmed = await primary.execute("CALL bramblebeam.confirm()")
        assert confirmed.rows == ((1, 3),)
        assert await refused(replica, "CALL bramblebeam.confirm()") == 3101
        await primary.close()
        await replica.close()


async def test_mysql_statements_that_sqlite_writes_differently() -> None:
    async with group_of(1) as group:
        await group.promote(0, 1)
        c = await connect(group.members[0])
        await c.execute("CREATE TABLE t (k VARCHAR(9) PRIMARY KEY, n INT, UNIQUE KEY u (n))")
        upsert = "INSERT INTO t (k, n) VALUES ('a', 1) ON DUPLICATE KEY UPDATE n = VALUES(n) + 9"
        await c.execute(upsert)
        await c.execute(upsert)
        assert (await c.execute("SELECT n FROM depot.t WHERE k='a'")).rows == ((10,),)
        await c.execute("REPLACE INTO t VALUES ('b', 2)")
        await c.execute("INSERT IGNORE INTO t VALUES ('b', 3)")
        await c.execute("UPDATE t SET n = n + 100 ORDER BY k DESC LIMIT 1")
        rows = (await c.execute("SELECT k, n FROM t ORDER BY k")).rows
        assert rows == (("a", 10), ("b", 102))
        assert await refused(c, "INSERT INTO t VALUES ('a', 5)") == 1062
        assert await refused(c, "SELECT * FROM missing") == 1146
        assert await refused(c, "SELECT missing FROM t") == 1054
        assert await refused(c, "SELEC 1") == 1235
        result = await c.execute("SELECT CONNECTION_ID(), DATABASE(), @@autocommit, 'x' AS y")
        assert result.rows == ((c.id, "depot", 1, "x"),)
        assert (await c.execute("SELECT k FROM t ORDER BY n LIMIT 1, 5")).rows == (("b",),)
        assert (await c.execute("SELECT k FROM t LIMIT 0")).rows == ()
        await c.execute("TRUNCATE TABLE t")
        assert (await c.execute("SELECT COUNT(*) FROM t")).rows == ((0,),)
        await c.close()


async def test_replicated_statements_agree_on_time_and_random_values() -> None:
    async with group_of(3) as group:
        await group.promote(0, 1)
        c = await connect(group.members[0])
        await c.execute("CREATE TABLE t (id INT, d DATETIME DEFAULT CURRENT_TIMESTAMP, r REAL)")
        await c.execute("INSERT INTO t (id, r) VALUES (1, RAND()), (UNIX_TIMESTAMP(), RAND())")
        await wait_until(lambda: all(m.status().applied.offset == 3 for m in group.members))
        contents = [m.store._database.execute("SELECT * FROM t").fetchall() for m in group.members]
        assert contents[0] == contents[1] == contents[2]
        assert contents[0][0][1] is not None
        await c.close()


async def test_transactions_see_their_own_writes_and_report_conflicts() -> None:
    async with group_of(3) as group:
        await group.promote(0, 1)
        one, two = await connect(group.members[0]), await connect(group.members[0])
        await one.execute("CREATE TABLE jobs (id INT PRIMARY KEY, taken INT)")
        await one.execute("INSERT INTO jobs VALUES (1, 0), (2, 0)")
        assert (await one.execute("BEGIN")).in_transaction
        await two.execute("BEGIN")
        claim = "UPDATE jobs SET taken = 1 WHERE id = 1 AND taken = 0"
        assert (await one.execute(claim)).affected_rows == 1
        assert (await two.execute(claim)).affected_rows == 1
        assert (await one.execute("SELECT taken FROM jobs WHERE id=1")).rows == ((1,),)
        committed = await one.execute("COMMIT")
        assert committed.info.startswith("position=1:")
        assert not committed.in_transaction
        assert await refused(two, "COMMIT") == 1213
        await two.execute("SELECT 1")
        assert not two.in_transaction
        await one.execute("SET autocommit = 0")
        await one.execute("UPDATE jobs SET taken = 5 WHERE id = 2")
        assert one.in_transaction
        await one.execute("ROLLBACK")
        await two.execute("BEGIN")
        await two.execute("SELECT taken FROM jobs WHERE id = 2 FOR UPDATE")
        await two.execute("INSERT INTO jobs VALUES (3, 0)")
        await one.execute("UPDATE jobs SET taken = 7 WHERE id = 2")
        await one.execute("COMMIT")
        assert await refused(two, "COMMIT") == 1213
        rows = (await two.execute("SELECT id, taken FROM jobs ORDER BY id")).rows
        assert rows == ((1, 1), (2, 7))
        await two.execute("BEGIN")
        await two.execute("DELETE FROM jobs")
        await two.reset()
        assert (await two.execute("SELECT COUNT(*) FROM jobs")).rows == ((2,),)
        await one.close()
        await two.close()


async def test_locks_kills_process_list_and_user_limit() -> None:
    async with group_of(1, maximum_connections={"app": 2}) as group:
        member = group.members[0]
        holder = await connect(member, "app", "bramblebeam/n1/5")
        other = await connect(member, "app")
        with pytest.raises(ConnectError) as full:
            await connect(member, "app")
        assert full.value.code == 1203
        assert (await holder.execute("SELECT GET_LOCK('owner', 0)")).rows == ((1,),)
        assert (await other.execute("SELECT GET_LOCK('owner', 0)")).rows == ((0,),)
        assert (await other.execute("SELECT IS_USED_LOCK('owner')")).rows == ((holder.id,),)
        result = await other.execute("SHOW PROCESSLIST")
        names = [column.name for column in result.columns]
        processes = {row[0]: dict(zip(names, row, strict=True)) for row in result.rows}
        assert processes[holder.id]["Info"] == "bramblebeam/n1/5"
        assert processes[holder.id]["User"] == "app"
        waiting = asyncio.create_task(other.execute("SELECT GET_LOCK('owner', 5)"))
        control = await connect(member, "control")
        await control.kill(holder.id, query_only=False)
        assert (await waiting).rows == ((1,),)
        sleeping = asyncio.create_task(other.execute("SELECT SLEEP(30)"))
        await wait_until(lambda: member.sessions[other.id].running.startswith("SELECT SLEEP"))
        await control.kill(other.id, query_only=True)
        with pytest.raises(StatementError) as killed:
            await sleeping
        assert killed.value.code == 1317
        assert await refused(control, "KILL 999999") == 1094
        assert member.journal.statistics()["highest_connections_of_user"]["app"] == 2
        await other.close()
        await wait_until(lambda: member.locks.holder("owner") is None)
        await control.close()


async def test_former_primary_rejoins_as_replica_after_a_change_of_primary() -> None:
    async with group_of(3) as group:
        await group.promote(0, 1)
        old = await connect(group.members[0])
        await old.execute("CREATE TABLE t (id INT PRIMARY KEY)")
        await old.execute("INSERT INTO t VALUES (1)")
        group.fault(0, cut_peers=["*"])
        uncertain = asyncio.create_task(old.execute("INSERT INTO t VALUES (2)"))
        await asyncio.sleep(0.02)
        await group.promote(1, 2, without=(0,))
        new = await connect(group.members[1])
        await wait_until(lambda: group.members[1].status().applied.term == 2)
        await new.execute("INSERT INTO t VALUES (3)")
        with pytest.raises(StatementError) as lost:
            await uncertain
        assert lost.value.code == 3102
        group.fault(0, cut_peers=[])
        await wait_until(lambda: group.members[0].status().applied.offset == 5)
        assert (await old.execute("SELECT id FROM t ORDER BY id")).rows == ((1,), (3,))
        assert await refused(old, "INSERT INTO t VALUES (4)") == 3101
        assert await refused(new, "CALL bramblebeam.promise(2)") == 3100
        await old.close()
        await new.close()


async def test_log_file_survives_the_process(tmp_path: Path) -> None:
    path = tmp_path / "db.log"
    for number in range(3):
        settings = MemberSettings(InstanceId("db0"), log=path)
        member = DatabaseMember(settings)
        await member.start()
        assert member.replica.promised == number
        connection = await connect(member)
        await connection.execute(f"CALL bramblebeam.promise({number + 1})")
        endpoint = _endpoint(member)
        await connection.execute(f"CALL bramblebeam.promote({number + 1}, '{endpoint}')")
        if number == 0:
            await connection.execute("CREATE TABLE t (id INT)")
        await connection.execute(f"INSERT INTO t VALUES ({number})")
        rows = (await connection.execute("SELECT id FROM t ORDER BY id")).rows
        assert rows == tuple((value,) for value in range(number + 1))
        await connection.close()
        await member.stop()
        with path.open("ab") as file:
            file.write(b"\x83\x02")


async def test_cut_clients_hang_and_continue_when_healed() -> None:
    async with group_of(1) as group:
        await group.promote(0, 1)
        member = group.members[0]
        connection = await connect(member)
        await connection.execute("CREATE TABLE t (id INT)")
        group.fault(0, cut_clients=True)
        waiting = asyncio.create_task(connection.execute("INSERT INTO t VALUES (1)"))
        with pytest.raises(ConnectError):
            await BackendConnection.connect(member.address, "app", "", timeout=0.1)
        assert not waiting.done()
        group.fault(0, cut_clients=False)
        assert (await waiting).affected_rows == 1
        await connection.close()


async def test_control_interface_over_http() -> None:
    async with group_of(1) as group, aiohttp.ClientSession() as http:
        await group.promote(0, 1)
        url = f"http://127.0.0.1:{group.controls[0].address.port}"
        faults = {"lag_ms": 5, "leaving": True, "cut_peers": ["x"]}
        async with http.post(f"{url}/faults", json=faults) as answer:
            assert answer.status == 200
        async with http.post(f"{url}/faults", json={"unknown": 1}) as answer:
            assert answer.status == 400
        assert group.members[0].status().leaving
        connection = await connect(group.members[0])
        await connection.execute("CREATE TABLE t (id INT)")
        sql = "INSERT INTO t VALUES (1) /* bramblebeam_request=r7 */"
        await connection.execute(sql)
        async with http.get(f"{url}/applied") as answer:
            lines = (await answer.text()).splitlines()
        assert '"request": "r7"' in lines[-1]
        async with http.get(f"{url}/acknowledged") as answer:
            assert len((await answer.text()).splitlines()) == 2
        async with http.get(f"{url}/statements") as answer:
            assert "bramblebeam_request=r7" in (await answer.text()).splitlines()[-1]
        async with http.get(f"{url}/connections") as answer:
            assert '"user": "app"' in await answer.text()
        async with http.get(f"{url}/statistics") as answer:
            assert (await answer.json())["acknowledged"] == 2
        await connection.close()


async def test_large_result_is_streamed() -> None:
    async with group_of(1) as group:
        connection = await connect(group.members[0])
        sql = "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i+1 FROM n WHERE i < 30000)"
        result = await connection.execute(f"{sql} SELECT i FROM n", maximum_rows=500)
        total = len(result.rows)
        more = result.more
        while more:
            batch = await connection.fetch(5_000)
            total += len(batch.rows)
            more = batch.more
        assert total == 30_000
        await connection.close()
