"""The tenants that a node counts, as shown to operators."""

import json

from bramblebeam.cli.tenants import AT_ITS_LIMIT, table_lines
from bramblebeam.core.quota.bucket import ADMITTED_SHARE
from bramblebeam.platform.node import TENANTS_PATH, _handle_metrics
from node_answers import ABSENT, run_at_nodes
from platform_standins.world import running_world, until
from test_tenants import (
    ACME,
    BOLT,
    OTHER_SECRET,
    SECRET,
    open_session,
    put_configuration,
    tenant_entry,
)


async def test_a_node_shows_the_tenants_that_it_counts_with_their_shares() -> None:
    async with running_world() as world:
        put_configuration(
            world,
            2,
            [tenant_entry(ACME, SECRET, rate=20, burst=10), tenant_entry(BOLT, OTHER_SECRET)],
        )
        client = await open_session(world, SECRET)
        for number in range(3):
            assert (await client.run(f"WRITE k{number} v")).code == ""
        gateway = world.nodes[0].gateway
        await until(lambda: gateway.context.limits.share(ACME) == 1.0)
        rows = json.loads((await _handle_metrics(gateway, TENANTS_PATH)).body)
        assert rows == [
            {
                "tenant": ACME,
                "share": 1.0,
                "rate": 20.0,
                "burst": 10.0,
                "counted": 3,
                "allowed": 110.0,
                "seconds": 5.0,
            }
        ]


async def test_the_command_queries_nodes_and_names_those_that_do_not_reply() -> None:
    row = {"tenant": "acme", "share": 0.5, "counted": 7, "allowed": 110.0}

    def body_of(path: str) -> bytes:
        assert path == TENANTS_PATH
        return json.dumps([row]).encode()

    node, result = await run_at_nodes("tenants", body_of)
    assert result.exit_code == 1
    assert f"acme    0.50   7        110      {node} 0.5" in result.output
    assert f"{ABSENT}:" in result.output


def test_a_tenants_counts_are_added_up_over_nodes_and_marked_at_its_limit() -> None:
    allowed = 100.0
    half = {"tenant": "hot", "share": 0.5, "counted": ADMITTED_SHARE * 50, "allowed": allowed}
    calm = {"tenant": "calm", "share": 1.0, "counted": 9, "allowed": allowed}
    lines = table_lines([("n1", calm), ("n1", half), ("n2", half)])
    assert [line.split()[0] for line in lines] == ["tenant", "hot", "calm"]
    assert lines[1].split()[1:3] == ["1.00", "80"]
    assert lines[1].endswith(AT_ITS_LIMIT)
    assert not lines[2].endswith(AT_ITS_LIMIT)
