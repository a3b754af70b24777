"""Callers on the users' platform: a node with the line wire, the databases and the store."""

import asyncio
import contextlib
import itertools
from dataclasses import replace

import pytest

from bramblebeam.core.failover.lease import Lease
from bramblebeam.core.gateway import stopping
from bramblebeam.core.gateway.routes import GroupSettings, RouteTable
from bramblebeam.core.identity import Address, GroupId, InstanceId, NodeId, Position
from bramblebeam.kernel import Kernel
from bramblebeam.platform import caller_listener
from bramblebeam.platform.node import build_node
from bramblebeam.platform.promotions import PromotionClient
from bramblebeam.platform.settings import parse_settings
from bramblebeam.services.failover.change import ChangeRunner
from bramblebeam.services.failover.peers import TransportStepDownPeers
from bramblebeam.services.gateway import reads, transaction
from platform_standins.world import (
    GROUP,
    WAIT_TIMEOUT,
    LineClient,
    World,
    node_settings,
    running_world,
    until,
)
from revisions import at


async def own_write(world: World, key: str, value: str) -> None:
    client = await world.client("latest")
    assert (await client.run(f"WRITE {key} {value}")).code == ""
    client.close()


async def test_a_session_reads_its_own_write_though_replicas_receive_nothing() -> None:
    async with running_world() as world:
        for name in ("db-b", "db-c"):
            world.group.members[name].paused = True
        client = await world.client("session")
        written = await client.run("WRITE parcel handed-over")
        assert written.signature == f"signed-{client.last_identifier}"
        for _ in range(20):
            assert (await client.run("READ parcel")).rows == ["handed-over"]


async def test_reads_within_the_bound_run_on_the_replica_of_the_zone() -> None:
    async with running_world() as world:
        await own_write(world, "parcel", "1")
        client = await world.client("bounded")
        for _ in range(20):
            assert (await client.run("READ parcel")).rows == ["1"]
        assert sum(world.group.members["db-b"].runs.values()) >= 15


@pytest.mark.parametrize(
    ("database", "role"), [("latest", b"primary"), ("bounded", b"replica")], ids=str
)
async def test_reads_are_counted_by_the_role_of_the_database_that_served_them(
    database: str, role: bytes
) -> None:
    async with running_world() as world:
        await own_write(world, "parcel", "1")
        client = await world.client(database)
        for _ in range(5):
            assert (await client.run("READ parcel")).rows == ["1"]
        (node,) = world.nodes
        text = node.gateway.context.metrics.text()
        assert b'bramblebeam_reads_total{role="%s"} 5.0' % role in text


async def test_a_read_within_its_bound_is_not_refused_as_behind() -> None:
    """A read's floor may not be newer than its staleness bound requires.

    One read in ten asked a replica for commits that its bound allows it to lack, was refused and
    was sent again.
    """
    async with running_world() as world:
        reader = await world.client("bounded")
        await own_write(world, "parcel", "old")
        assert (await reader.run("READ parcel")).rows == ["old"]
        for name in ("db-b", "db-c"):
            world.group.members[name].paused = True
        await own_write(world, "parcel", "new")
        context = world.nodes[0].gateway.context
        committed = Position(1, len(world.group.primary.log))
        marks = context.leader(GroupId(GROUP)).watermarks
        await until(lambda: marks.newest.position == committed)
        assert (await reader.run("READ parcel")).rows == ["old"]
        assert b"replica_behind" not in context.metrics.text()


@pytest.mark.parametrize("begin", [[], ["BEGIN READ"]], ids=["alone", "in a transaction"])
async def test_a_read_that_is_cancelled_while_it_waits_for_its_floor_holds_no_connection(
    begin: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The connection was acquired by then, and was never released."""
    async with running_world() as world:
        client = await world.client("session")
        assert (await client.run("READ parcel")).code == ""
        context = world.nodes[0].gateway.context
        asked = asyncio.Event()
        floors = itertools.count()

        async def wait_at_second(*args: object) -> Position:
            if next(floors) > 0:
                asked.set()
                await asyncio.Event().wait()
            return Position(1, 0)

        for module in (reads, transaction):
            monkeypatch.setattr(module, "current_floor", wait_at_second)
        for text in begin:
            await client.run(text)
        context.placement.pools.clear()
        context.placement.reopen()
        running = asyncio.ensure_future(client.run("READ parcel"))
        await asyncio.wait_for(asked.wait(), WAIT_TIMEOUT)
        held = sum(pool.load for pool in context.placement.pools.values())
        client.close()
        await until(lambda: sum(pool.load for pool in context.placement.pools.values()) < held)
        running.cancel()


async def test_a_session_never_reads_backwards() -> None:
    """A read must not go to a replica that lacks what the session has read before."""
    async with running_world() as world:
        reader = await world.client("bounded")
        await own_write(world, "parcel", "old")
        assert (await reader.run("READ parcel")).rows == ["old"]
        world.group.members["db-c"].paused = True
        await own_write(world, "parcel", "new")
        assert (await reader.run("READ parcel")).rows == ["new"]
        for name in ("db-a", "db-b"):
            world.group.members[name].fault.busy = 20
        assert (await reader.run("READ parcel")).rows == ["new"]


async def test_a_latest_read_is_not_answered_by_a_primary_that_lost_the_lead() -> None:
    async with running_world() as world:
        await own_write(world, "parcel", "old")
        client = await world.client("latest")
        assert (await client.run("READ parcel")).rows == ["old"]
        world.group.promote("db-c")
        world.group.members["db-a"].paused = True
        world.group.members["db-c"].commit([("parcel", "new")])
        assert world.group.members["db-a"].read("parcel") == "old"
        assert (await client.run("READ parcel")).rows == ["new"]


async def test_a_write_whose_answer_is_lost_is_in_doubt_and_ran_once() -> None:
    async with running_world() as world:
        client = await world.client("session")
        await client.run("READ parcel")
        world.group.primary.fault.lose_answers = 1
        answer = await client.run("WRITE parcel 1")
        assert answer.code == "INDOUBT"
        runs = [member.runs[client.last_identifier] for member in world.group.members.values()]
        assert sum(runs) == 1


async def test_a_write_is_retried_at_a_busy_database_and_runs_once() -> None:
    async with running_world() as world:
        client = await world.client("session")
        world.group.primary.fault.busy = 3
        assert (await client.run("WRITE parcel 1")).code == ""
        assert world.group.primary.runs[client.last_identifier] == 1


async def test_a_refusal_says_when_to_retry() -> None:
    async with running_world() as world:
        world.configure(2, session={"route_type": "self_managed", "timeout_ms": 100})
        client = await world.client("session")
        for member in world.group.members.values():
            member.fault.busy = 1_000_000
        answer = await client.run("WRITE parcel 1")
        while answer.code != "BUSY":
            answer = await client.run("WRITE parcel 1")
        assert "retry after" in answer.text
        assert world.group.primary.runs[client.last_identifier] == 0


async def test_transactions_commit_and_roll_back_whole() -> None:
    async with running_world() as world:
        client = await world.client("session")
        assert (await client.run("BEGIN")).state == "T"
        await client.run("WRITE parcel 1")
        assert (await client.run("READ parcel")).rows == ["1"]
        committed = await client.run("COMMIT")
        assert (committed.signature, committed.state) == (f"signed-{client.last_identifier}", "I")
        await client.run("BEGIN")
        await client.run("WRITE parcel 2")
        assert (await client.run("ROLLBACK")).state == "I"
        assert (await client.run("READ parcel")).rows == ["1"]


@pytest.mark.parametrize("end", ["COMMIT", "ROLLBACK"])
async def test_a_connection_keeps_nothing_of_a_transaction_that_ended(end: str) -> None:
    """A read at the leader follows on the connection of the transaction."""
    async with running_world() as world:
        client = await world.client("latest")
        await client.run("WRITE parcel 1")
        await client.run("BEGIN")
        await client.run("WRITE parcel 2")
        await client.run(end)
        await client.run("WRITE letter 1")
        primary = world.group.primary
        await until(lambda: not any(found.transaction for found in primary.connections))
        assert all(found.writes == [] for found in primary.connections)
        expected = "2" if end == "COMMIT" else "1"
        assert (await client.run("READ parcel")).rows == [expected]


async def test_a_transaction_whose_connection_is_lost_is_aborted_not_in_doubt() -> None:
    async with running_world() as world:
        client = await world.client("session")
        await client.run("BEGIN")
        world.group.primary.fault.lose_answers = 1
        answer = await client.run("WRITE parcel 1")
        assert (answer.code, answer.state) == ("ABORTED", "E")
        assert (await client.run("READ parcel")).code == "MALFORMED"
        assert (await client.run("ROLLBACK")).state == "I"


async def test_a_commit_whose_answer_is_lost_is_in_doubt() -> None:
    async with running_world() as world:
        client = await world.client("session")
        await client.run("BEGIN")
        await client.run("WRITE parcel 1")
        world.group.primary.fault.lose_commits = 1
        answer = await client.run("COMMIT")
        assert (answer.code, answer.state) == ("INDOUBT", "I")


async def test_a_lost_commit_without_a_write_is_not_in_doubt() -> None:
    async with running_world() as world:
        client = await world.client("latest")
        await client.run("BEGIN")
        await client.run("READ parcel")
        world.group.primary.fault.lose_commits = 1
        assert (await client.run("COMMIT")).code == "ABORTED"


async def test_a_disconnected_callers_transaction_is_rolled_back() -> None:
    async with running_world() as world:
        client = await world.client("session")
        await client.run("BEGIN")
        await client.run("WRITE parcel 1")
        client.close()
        primary = world.group.primary
        await until(lambda: not any(found.transaction for found in primary.connections))
        assert primary.read("parcel") == ""


async def test_sessions_that_share_connections_keep_their_own_values() -> None:
    async with running_world() as world:
        clients = [await world.client("session") for _ in range(8)]
        for number, client in enumerate(clients):
            assert (await client.run(f"SET zone z{number}")).signature == "-"
            if number % 2:
                await client.run(f"SET depot d{number}")
        for _ in range(4):
            for number, client in enumerate(clients):
                await client.run("WRITE parcel 1")
                expected = {"zone": f"z{number}"}
                if number % 2:
                    expected["depot"] = f"d{number}"
                assert world.group.primary.session_values_of_run[client.last_identifier] == expected


async def test_prepared_names_of_sessions_do_not_clash() -> None:
    async with running_world() as world:
        first, second = await world.client("session"), await world.client("session")
        await first.run("PREPARE s1 WRITE confirm")
        await second.run("PREPARE s1 WRITE cancel")
        await first.run("EXEC s1 parcel yes")
        await second.run("EXEC s1 parcel no")
        assert world.group.primary.read("confirm/parcel") == "yes"
        assert world.group.primary.read("cancel/parcel") == "no"
        await first.run("DEALLOC s1")
        assert (await first.run("EXEC s1 parcel")).code == "NOSTMT"
        await second.run("PREPARE s2 READ cancel")
        assert (await second.run("EXEC s2 parcel")).rows == ["no"]


async def test_connections_stay_below_the_limit() -> None:
    async with running_world(nodes=2) as world:
        world.group.maximum_connections = 4
        clients = [await world.client("session", node=number % 2) for number in range(16)]
        answers = await asyncio.gather(*(client.run("WRITE parcel 1") for client in clients))
        assert [answer.code for answer in answers] == [""] * 16


# Configuration.


async def test_a_removed_route_is_refused_and_a_new_one_served() -> None:
    async with running_world() as world:
        client = await world.client("session")
        world.configure(5, other={"route_type": "primary"})
        code = ""
        while code != "NODB":
            code = (await client.run("READ parcel")).code
        other = await world.client("other")
        assert (await other.run("READ parcel")).code == ""


async def test_an_older_version_never_comes_into_force() -> None:
    async with running_world() as world:
        context = world.nodes[0].gateway.context
        versions: list[int] = []
        configure = context.configure

        def record(table: RouteTable) -> None:
            versions.append(table.version)
            configure(table)

        context.configure = record  # type: ignore[method-assign]
        for version in (7, 3, 8, 2, 9):
            world.configure(version, newer={"route_type": "primary"})
            await asyncio.sleep(0)
        await until(lambda: context.table.version == 9)
        world.configure(4, older={"route_type": "primary"})
        world.configure(10, newer={"route_type": "primary"})
        await until(lambda: context.table.version == 10)
        assert versions == sorted(versions)


async def test_a_node_that_starts_while_the_store_is_down_serves_once_it_is_back() -> None:
    async with running_world(nodes=0) as world:
        world.platform.fault.status = 503
        node = build_node(parse_settings(node_settings("late", world.platform.port)))
        await node.start()
        world.nodes.append(node)
        refused = await LineClient.connect(node.callers.port)
        assert (await refused.start("session")).code == "BUSY"
        assert not node.gateway.ready
        world.platform.fault.status = 0
        client = await world.client("session")
        assert (await client.run("WRITE parcel 1")).code == ""
        assert node.gateway.ready
        await node.stop()


@pytest.mark.parametrize("status", [429, 503])
async def test_a_store_that_refuses_changes_nothing_that_is_known(status: int) -> None:
    async with running_world() as world:
        client = await world.client("session")
        await client.run("WRITE parcel 1")
        world.platform.fault.status = status
        world.platform.forget_history()
        for _ in range(5):
            assert (await client.run("READ parcel")).rows == ["1"]
        world.platform.fault.status = 0
        world.configure(9, other={"route_type": "primary"})
        await world.client("other")


# Changes of primary.


async def test_a_crashed_primary_is_replaced_under_a_fence_and_writes_land() -> None:
    async with running_world(nodes=2) as world:
        client = await world.client("session")
        await client.run("WRITE parcel 1")
        old = world.group.primary
        await old.crash()
        answer = await client.run("WRITE parcel 2")
        while answer.code:
            answer = await client.run("WRITE parcel 2")
        assert world.group.primary is not old
        lease = world.platform.found("leases", GROUP)
        tokens = [order.token for order in world.platform.promotions]
        assert tokens == sorted(tokens)
        assert max(tokens) <= lease["meta"]["revision"]
        assert (await client.run("READ parcel")).rows == ["2"]


async def test_a_lost_answer_of_the_lease_is_resolved_by_reading_back() -> None:
    async with running_world() as world:
        client = await world.client("session")
        await client.run("WRITE parcel 1")
        await until(lambda: world.platform.has("leases", GROUP))
        world.platform.fault.unanswered_writes = 1
        await world.group.primary.crash()
        answer = await client.run("WRITE parcel 2")
        while answer.code:
            answer = await client.run("WRITE parcel 2")
        assert len({order.target for order in world.platform.promotions}) == 1


async def lease_holder_client(world: World) -> LineClient:
    """Return a session that has written, once the first node knows the group's lease."""
    client = await world.client("session")
    await client.run("WRITE parcel 1")
    await until(lambda: world.platform.has("leases", GROUP))
    watch = world.nodes[0].kernel._services["failover"]._watches[GROUP]  # type: ignore[attr-defined]
    await until(lambda: watch.lease.known is not None)
    return client


async def test_a_token_that_was_refused_is_not_used_again_while_the_store_is_down() -> None:
    async with running_world() as world:
        await lease_holder_client(world)
        world.platform.fault.status = 503
        world.platform._fences[GROUP] = 1_000_000
        await world.group.primary.crash()
        await until(lambda: len(world.platform.promotions) > 0)
        for _ in range(20):
            await asyncio.sleep(0.1)
        tokens = [order.token for order in world.platform.promotions]
        assert len(tokens) == len(set(tokens))


async def test_an_order_without_an_answer_is_repeated_for_the_same_member() -> None:
    """The first order may still be carried out, so that no other member may be promoted."""
    async with running_world() as world:
        client = await world.client("session")
        await client.run("WRITE parcel 1")
        world.platform.fault.unanswered_promotions = 2
        await world.group.primary.crash()
        await until(lambda: len(world.platform.promotions) == 1)
        first = world.platform.promotions[0].target
        longer = next(name for name in ("db-b", "db-c") if name != first)
        world.group.members[longer].log *= 2
        answer = await client.run("WRITE parcel 3")
        while answer.code:
            answer = await client.run("WRITE parcel 3")
        assert {order.target for order in world.platform.promotions} == {first}
        tokens = [order.token for order in world.platform.promotions]
        assert tokens == sorted(set(tokens))


async def test_a_change_of_primary_without_the_store_is_recorded_when_the_store_is_back() -> None:
    """Another node that takes the lease over must learn of the change (STALE 486)."""
    async with running_world() as world:
        client = await lease_holder_client(world)
        world.platform.fault.status = 503
        await world.group.primary.crash()
        answer = await client.run("WRITE parcel 2")
        while answer.code:
            answer = await client.run("WRITE parcel 2")
        assert world.platform.found("leases", GROUP)["spec"]["last_change"] is None
        world.platform.fault.status = 0
        target = world.group.primary.name
        await until(
            lambda: (
                (world.platform.found("leases", GROUP)["spec"]["last_change"] or {}).get("target")
                == target
            )
        )


async def test_a_leaving_primary_is_replaced_before_it_ends() -> None:
    async with running_world() as world:
        client = await world.client("session")
        await client.run("WRITE parcel 1")
        world.register("db-a", state="draining")
        others = [world.group.members[name] for name in ("db-b", "db-c")]
        await until(lambda: any(member.is_primary for member in others))
        assert (await client.run("WRITE parcel 2")).code == ""


@pytest.mark.parametrize("says_so", [True, False])
async def test_a_database_that_leaves_gets_no_new_work(says_so: bool) -> None:
    async with running_world() as world:
        client = await world.client("bounded")
        await client.run("READ parcel")
        if says_so:
            world.register("db-b", state="draining")
        else:
            world.platform.delete("servers", "db-b")
        pools = world.nodes[0].gateway.context.placement.pools
        await until(lambda: "db-b" not in pools)
        before = sum(world.group.members["db-b"].runs.values())
        for _ in range(10):
            assert (await client.run("READ parcel")).code == ""
        assert sum(world.group.members["db-b"].runs.values()) == before


async def test_a_caller_that_comes_while_the_node_stops_has_its_first_statement_answered() -> None:
    """New sessions were closed after READY, before they could send a statement (two incidents)."""
    async with running_world() as world:
        await own_write(world, "parcel", "1")
        draining = asyncio.ensure_future(world.nodes[0].kernel.drain())
        await until(lambda: world.nodes[0].gateway.stopping)
        client = await LineClient.connect(world.nodes[0].callers.port)
        assert (await client.start("session")).state == "I"
        await asyncio.sleep(0.02)
        assert (await client.run("READ parcel")).rows == ["1"]
        assert await client.reader.read() == b""
        await draining


async def test_a_node_waits_for_a_caller_that_has_connected_and_said_nothing_yet(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Such a caller's first request was in flight when the node ended."""
    monkeypatch.setattr(caller_listener, "_FIRST_STATEMENT_SECONDS", WAIT_TIMEOUT)
    # The node accepts callers long enough for this process to be suspended before it connects.
    assert stopping.ADMITTING_SECONDS == 3.0
    async with running_world() as world:
        await own_write(world, "parcel", "1")
        node = world.nodes[0]
        node.gateway.grace_period = WAIT_TIMEOUT
        draining = asyncio.ensure_future(node.kernel.drain())
        await until(lambda: node.gateway.stopping)
        client = await LineClient.connect(node.callers.port)
        await until(lambda: bool(node.listener.connections))
        await until(lambda: node.listener._server is None)
        for _ in range(10):
            await asyncio.sleep(0.01)
        assert not draining.done()
        assert (await client.start("session")).state == "I"
        assert (await client.run("READ parcel")).rows == ["1"]
        await draining


# A caller whose statement failed within the node was closed without a verdict.
async def test_a_statement_that_fails_inside_the_node_is_in_doubt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with running_world() as world:
        client = await world.client()
        assert (await client.run("BEGIN")).code == ""

        async def fail(*args: object) -> None:
            raise RuntimeError("a bug")

        monkeypatch.setattr(transaction.Transaction, "run", fail)
        answer = await client.run("WRITE parcel 1")
        assert (answer.code, answer.state) == ("INDOUBT", "I")
        assert (await client.run("WRITE parcel 2")).code == ""


# Bad input.


@pytest.mark.parametrize("line", ["QUERY 1 READ a", "HELLO", "", "START nowhere x"])
async def test_an_unexpected_line_ends_the_connection(line: str) -> None:
    async with running_world() as world:
        (await world.client()).close()
        client = await LineClient.connect(world.nodes[0].callers.port)
        client.send(line)
        rest = await client.reader.read()
        assert rest in (b"", b"ERR NODB no route leads to this database; retry after 0 ms\r\n")


@pytest.mark.parametrize("data", [b"\xff\xfe\r\n", b"x" * (1 << 21)])
async def test_bytes_that_are_not_a_line_end_the_connection(data: bytes) -> None:
    async with running_world() as world:
        (await world.client()).close()
        client = await LineClient.connect(world.nodes[0].callers.port)
        client.writer.write(data)
        with contextlib.suppress(ConnectionResetError):
            assert await client.reader.read() == b""


@pytest.mark.parametrize("text", ["", "READ", "PREPARE s1 shape", "DROP all", "SET"])
async def test_a_text_that_is_no_statement_is_refused_and_the_session_continues(text: str) -> None:
    async with running_world() as world:
        client = await world.client()
        assert (await client.run(text)).code == "MALFORMED"
        assert (await client.run("WRITE parcel 1")).code == ""


async def test_a_member_that_left_the_directory_is_paused_too() -> None:
    async with running_world() as world:
        client = await world.client("session")
        await client.run("WRITE parcel 1")
        context = world.nodes[0].gateway.context
        settings = GroupSettings(GroupId(GROUP), 36, synchronous_replicas=1)
        context.configure(replace(context.table, groups={GroupId(GROUP): settings}))
        world.register("db-c", state="draining")
        await until(lambda: "db-c" not in context.placement.pools)
        lease = Lease(GroupId(GROUP), NodeId("node-0"), at(1))
        promoter = PromotionClient(Address("127.0.0.1", 1))
        runner = ChangeRunner(context, promoter, TransportStepDownPeers(Kernel()), lease.group)
        change = await runner.prepare(InstanceId("db-a"), None, None)
        assert change is None or world.group.members["db-c"].paused


async def test_a_synchronous_group_promotes_no_log_that_lacks_an_acknowledged_commit() -> None:
    """One replica receives nothing, the one that has the commits leaves, and the leader crashes.

    The first replica was promoted without the commits (soak on processes, seed 3016).
    """
    async with running_world() as world:
        members = world.group.members
        client = await world.client("session")
        await client.run("WRITE parcel 1")
        context = world.nodes[0].gateway.context
        settings = GroupSettings(GroupId(GROUP), 36, synchronous_replicas=1)
        context.configure(replace(context.table, groups={GroupId(GROUP): settings}))
        members["db-b"].replication_cut = True
        assert (await client.run("WRITE parcel 2")).code == ""
        world.register("db-c", state="draining")
        await until(lambda: "db-c" not in context.placement.pools)
        await members["db-c"].crash()
        await members["db-a"].crash()
        await until(lambda: context.leader(GroupId(GROUP)).leader is None)
        promoter = PromotionClient(Address("127.0.0.1", 1))
        runner = ChangeRunner(context, promoter, TransportStepDownPeers(Kernel()), GroupId(GROUP))
        assert await runner.prepare(None, None, None) is None
        members["db-b"].log = list(members["db-a"].log)
        change = await runner.prepare(None, None, None)
        assert change is not None
        assert change.target == "db-b"
