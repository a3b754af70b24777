"""The command that shows operators the configuration in force at nodes."""

import math

import pytest

from bramblebeam.cli.in_force import BEHIND, InForceState, parse_in_force, table_lines
from bramblebeam.platform.node import METRICS_PATH, _handle_metrics
from node_answers import ABSENT, run_at_nodes
from platform_standins.world import running_world, until

WELL = InForceState("a", 27, (1, 12), 0.4, (1, 15), 0.2)


@pytest.mark.parametrize(
    ("other", "behind"),
    [
        pytest.param(WELL._replace(node="b"), [], id="alike"),
        pytest.param(WELL._replace(node="b", routes=(1, 9)), [], id="an earlier answer"),
        pytest.param(WELL._replace(node="b", version=23), ["b"], id="an older version"),
        pytest.param(WELL._replace(node="b", databases=(0, 40)), ["b"], id="a former era"),
        pytest.param(WELL._replace(node="b", version=30), ["a"], id="a newer version"),
    ],
)
def test_nodes_that_are_behind_are_marked_and_come_first(
    other: InForceState, behind: list[str]
) -> None:
    lines = table_lines([WELL, other])[1:]
    assert [line.split()[0] for line in lines if line.endswith(BEHIND)] == behind
    assert [line.split()[0] for line in lines][: len(behind)] == behind


async def test_a_node_reports_it_in_its_metrics() -> None:
    async with running_world() as world:
        world.configure(27)
        gateway = world.nodes[0].gateway
        await until(lambda: gateway.context.table.version == 27)
        # Until then the routes are those of a cached list, whose age is unknown.
        await until(lambda: gateway.context.metrics.store_state().lists[0].age < math.inf)
        body = (await _handle_metrics(gateway, METRICS_PATH)).body
        found = parse_in_force("a", body.decode())
        assert found.version == 27
        assert found.routes[0] == 0
        assert found.routes_age < 60.0


async def test_nodes_that_do_not_answer_or_lack_the_metrics_are_named() -> None:
    node, result = await run_at_nodes("in-force", lambda path: b"# nothing of ours\nother 1\n")
    assert result.exit_code == 1
    assert f"{node}: its metrics lack" in result.output
    assert f"{ABSENT}:" in result.output
