"""Adds the commands of operators and of the lab to the program."""

from importlib import import_module
from importlib.util import find_spec

import typer

OPERATOR_MODULE = "bramblebeam.cli.operator"
LAB_MODULE = "bramblebeam.lab.cli"


def mount_optional(application: typer.Typer) -> None:
    """Mount the operators' commands at the top and the lab's commands under `lab`."""
    if find_spec(OPERATOR_MODULE) is not None:
        application.add_typer(import_module(OPERATOR_MODULE).application)
    if find_spec(LAB_MODULE) is not None:
        application.add_typer(import_module(LAB_MODULE).application, name="lab")
