"""Operators' commands against a node, on loopback."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from typer.testing import CliRunner, Result

from bramblebeam.cli.main import application
from configuration_system import Node, system, until

Run = Callable[..., Awaitable[Result]]


@pytest.fixture
def run(monkeypatch: pytest.MonkeyPatch) -> Callable[[Node], Run]:
    def of(node: Node) -> Run:
        async def command(*arguments: str) -> Result:
            monkeypatch.setenv("BRAMBLEBEAM_ADMIN", await node.admin_url())
            return await asyncio.to_thread(CliRunner().invoke, application, arguments)

        return command

    return of


async def test_edit_wait_and_the_conflict_of_the_second_editor(
    run: Callable[[Node], Run],
) -> None:
    async with system(2) as (_, nodes):
        first, second = run(nodes[0]), run(nodes[1])
        edit = ("rows", "edit", "weight", "quito-1")
        done = await first(*edit, "read_weight=5", "--version", "1", "--wait", "--json")
        assert done.exit_code == 0, done.output
        assert "in_force_after_ms" in json.loads(done.output)
        late = await second(*edit, "read_weight=6", "--version", "1")
        assert late.exit_code == 3
        assert 'in the store, version 2: instance="quito-1" read_weight=5' in late.output
        assert "yours, of version 1" in late.output
        wrong = await second(*edit, "read_weight=-6")
        assert (wrong.exit_code, "spec.read_weight" in wrong.output) == (2, True)


async def test_apply_writes_only_what_differs(run: Callable[[Node], Run], tmp_path: Path) -> None:
    async with system(1) as (server, (node,)):
        command = run(node)
        listed = json.loads((await command("rows", "list", "--json")).output)
        listed.append({"kind": "weight", "name": "w2", "spec": {"instance": "w2"}})
        file = tmp_path / "rows.json"
        file.write_text(json.dumps(listed))
        assert (await command("rows", "diff", str(file))).exit_code == 1
        applied = await command("rows", "apply", str(file), "--wait")
        assert applied.exit_code == 0, applied.output
        assert server.statistics.writes == 1
        await until(lambda: len(node.view.weights) == 2)
        assert (await command("rows", "diff", str(file))).exit_code == 0
        removed = await command("rows", "delete", "weight", "w2", "--wait")
        assert removed.exit_code == 0, removed.output
        await until(lambda: len(node.view.weights) == 1)


async def test_views_are_tables_or_json(run: Callable[[Node], Run]) -> None:
    async with system(2) as (_, nodes):
        command = run(nodes[1])
        for name in ("status", "versions", "members"):
            table = await command(name)
            assert (table.exit_code, "n0" in table.output) == (0, True), table.output
            assert (await command(name, "--json")).output.startswith("{")
        assert (await command("rows", "wait", "1")).exit_code == 0
        late = await command("rows", "wait", "99", "--timeout", "0")
        assert (late.exit_code, "2 of 2 nodes of zone-a" in late.output) == (4, True)


def test_an_unreachable_node_has_its_own_exit_code(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setenv("BRAMBLEBEAM_ADMIN", "http://127.0.0.1:1")
    assert CliRunner().invoke(application, ["status"]).exit_code == 5
