"""The queues before databases, as shown to an operator."""

import json
from typing import Any

import pytest

from bramblebeam.cli.queues import table_lines
from bramblebeam.platform.node import QUEUES_PATH, _handle_metrics
from bramblebeam.services.gateway.queue_view import queue_rows
from node_answers import ABSENT, run_at_nodes
from platform_standins.world import running_world
from test_silent_connections import pools, served
from test_slot_queue import ordered_world


async def test_a_node_shows_a_row_for_each_database_whose_statements_it_queues(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with ordered_world(monkeypatch) as world:
        client = await world.client("latest")
        assert (await served(client, "BEGIN")).code == ""
        assert (await served(client, "WRITE x 1")).code == ""
        answer = await _handle_metrics(world.nodes[0].gateway, QUEUES_PATH)
        rows = {row["instance"]: row for row in json.loads(answer.body)}
        assert set(rows) == set(map(str, pools(world)))
        leading = rows[next(name for name in rows if rows[name]["role"] == "primary")]
        assert (leading["connections"], leading["under_way"], leading["waiting"]) == (1, 0, 0)


async def test_nothing_is_shown_where_connections_alone_bound_the_work() -> None:
    async with running_world() as world:
        assert queue_rows(pools(world).values()) == []


async def test_the_command_queries_nodes_and_lists_those_that_do_not_answer() -> None:
    row = {"group": "g", "instance": "db", "waiting": 7, "wait_ms": 40}

    def body_of(path: str) -> bytes:
        assert path == QUEUES_PATH
        return json.dumps([row]).encode()

    node, result = await run_at_nodes("queues", body_of)
    assert result.exit_code == 1
    assert f"{node}  g" in result.output
    assert f"{ABSENT}:" in result.output


def test_the_longest_wait_comes_first_and_unknown_figures_are_marked() -> None:
    short: dict[str, Any] = {"group": "a", "wait_ms": 1}
    long: dict[str, Any] = {"group": "b", "wait_ms": 900}
    lines = table_lines([("n1", short), ("n2", long)])
    assert [line.split()[:2] for line in lines] == [["node", "group"], ["n2", "b"], ["n1", "a"]]
    assert "?" in lines[1]
