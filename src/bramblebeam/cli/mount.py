"""Loads the commands of operators and of the lab only when they are asked for.

So that a node's process holds nothing of them.
"""

from importlib import import_module
from typing import Any

from typer.core import TyperGroup
from typer.main import get_command

OPERATOR_MODULE = "bramblebeam.cli.operator"
LAB_MODULE = "bramblebeam.lab.cli"
LAB = "lab"


class ProgramGroup(TyperGroup):
    """The program's commands: its own, the operators' at the top, and the lab's under `lab`."""

    def list_commands(self, ctx: Any) -> list[str]:
        """Return every command's name."""
        self._load_operator()
        self._load_lab()
        return super().list_commands(ctx)

    def get_command(self, ctx: Any, cmd_name: str) -> Any:
        """Return a command, loading what it needs; None: there is no such command."""
        if cmd_name not in self.commands:
            if cmd_name == LAB:
                self._load_lab()
            else:
                self._load_operator()
        return super().get_command(ctx, cmd_name)

    def _load_operator(self) -> None:
        group: Any = get_command(import_module(OPERATOR_MODULE).application)
        for name, command in group.commands.items():
            self.commands.setdefault(name, command)

    def _load_lab(self) -> None:
        if LAB not in self.commands:
            laboratory: Any = get_command(import_module(LAB_MODULE).application)
            laboratory.name = LAB
            self.add_command(laboratory)
