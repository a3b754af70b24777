"""Command groups that import the modules of their commands on demand.

A node's process thus does not load the operators' commands or the lab.
"""

from importlib import import_module
from importlib.util import find_spec
from typing import Any, ClassVar

from typer.core import TyperGroup
from typer.main import get_command


class LazyGroup(TyperGroup):
    """A group of its own commands and of those in other modules' `application` objects.

    `merged`: modules whose commands are added to this group. `named`: modules that form a subgroup
    or command, by its name.
    """

    merged: ClassVar[tuple[str, ...]] = ()
    named: ClassVar[dict[str, str]] = {}

    def list_commands(self, ctx: Any) -> list[str]:
        """Return the names of all commands; imports all modules."""
        self._load_merged()
        for name in self.named:
            self._load_named(name)
        return super().list_commands(ctx)

    def get_command(self, ctx: Any, cmd_name: str) -> Any:
        """Return a command, importing its module if needed, or None if it does not exist."""
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
    """The program's commands: operators' commands at the top level, the lab's under `lab`."""

    merged = ("bramblebeam.cli.operator",)
    named = {"lab": "bramblebeam.lab.cli", "report": "bramblebeam.cli.report"}
