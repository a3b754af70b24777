"""Groups of commands that load the modules of other commands only when they are asked for.

So that a node's process holds nothing of the operators' commands and of the laboratory.
"""

from importlib import import_module
from importlib.util import find_spec
from typing import Any, ClassVar

from typer.core import TyperGroup
from typer.main import get_command


class LazyGroup(TyperGroup):
    """Commands of its own, and those of other modules, each of which has an `application`.

    `merged`: modules whose commands stand among the group's own. `named`: modules that are a group
    of commands of their own, by the group's name.
    """

    merged: ClassVar[tuple[str, ...]] = ()
    named: ClassVar[dict[str, str]] = {}

    def list_commands(self, ctx: Any) -> list[str]:
        """Return every command's name."""
        self._load_merged()
        for name in self.named:
            self._load_named(name)
        return super().list_commands(ctx)

    def get_command(self, ctx: Any, cmd_name: str) -> Any:
        """Return a command, loading what it needs; None: there is no such command."""
        if cmd_name not in self.commands:
            if cmd_name in self.named:
                self._load_named(cmd_name)
            else:
                self._load_merged()
        return super().get_command(ctx, cmd_name)

    def _load_merged(self) -> None:
        for module in self.merged:
            if not _exists(module):
                continue
            group: Any = get_command(import_module(module).application)
            commands = getattr(group, "commands", {group.name: group})
            for name, command in commands.items():
                self.commands.setdefault(name, command)

    def _load_named(self, name: str) -> None:
        if name not in self.commands:
            group: Any = get_command(import_module(self.named[name]).application)
            group.name = name
            self.add_command(group)


def _exists(module: str) -> bool:
    parent = module.rpartition(".")[0]
    return find_spec(parent) is not None and find_spec(module) is not None


class ProgramGroup(LazyGroup):
    """The program's commands: its own, the operators' at the top, the lab's under `lab`."""

    merged = ("bramblebeam.cli.operator",)
    named = {"lab": "bramblebeam.lab.cli", "report": "bramblebeam.cli.report"}
