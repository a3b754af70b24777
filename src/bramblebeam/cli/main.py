"""The program `bramblebeam`: its own commands, operators' commands and the lab."""

import json
import sys
from importlib.resources import files
from pathlib import Path
from typing import Annotated, Any

import typer
from expression import Result

from bramblebeam import __version__
from bramblebeam.cli.explain import explain_command
from bramblebeam.cli.in_force import in_force_command
from bramblebeam.cli.mount import ProgramGroup
from bramblebeam.cli.queues import queues_command
from bramblebeam.cli.tenants import tenants_command
from bramblebeam.events.formatting import configure_logging
from bramblebeam.events.page import events_page
from bramblebeam.settings import (
    NodeSettings,
    SettingProblem,
    SettingsError,
    load_settings,
    parse_override,
)

EXIT_BAD_SETTINGS = 2

application = typer.Typer(
    name="bramblebeam",
    cls=ProgramGroup,
    help="A database proxy with session consistency.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
config_commands = typer.Typer(help="Check and explain a node's settings.", no_args_is_help=True)
application.add_typer(config_commands, name="config")

application.command(name="explain")(explain_command)
application.command(name="queues")(queues_command)
application.command(name="tenants")(tenants_command)
application.command(name="in-force")(in_force_command)

ConfigOption = Annotated[
    Path | None, typer.Option("--config", "-c", help="Settings file (TOML). None: flags only.")
]
SetOption = Annotated[
    list[str] | None,
    typer.Option("--set", help="KEY=VALUE: overrides any setting; KEY is dotted, VALUE JSON."),
]


@application.command()
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


@application.command()
def events() -> None:
    """Print the catalogue of log events in the form of docs/events.md."""
    typer.echo(events_page(), nl=False)


@application.command()
def node(
    config: ConfigOption = None,
    name: Annotated[str | None, typer.Option("--node", help="This node's name.")] = None,
    zone: Annotated[str | None, typer.Option(help="This node's zone.")] = None,
    region: Annotated[str | None, typer.Option(help="This node's region.")] = None,
    client: Annotated[str | None, typer.Option(help="HOST:PORT for callers.")] = None,
    peer: Annotated[str | None, typer.Option(help="HOST:PORT for other nodes.")] = None,
    admin: Annotated[str | None, typer.Option(help="HOST:PORT for operators.")] = None,
    platform_url: Annotated[str | None, typer.Option(help="The platform's store.")] = None,
    log_level: Annotated[str | None, typer.Option(help="debug, info, warning, error.")] = None,
    log_format: Annotated[str | None, typer.Option(help="text or json.")] = None,
    drain_seconds: Annotated[float | None, typer.Option(help="Bound of a planned stop.")] = None,
    overrides: SetOption = None,
) -> None:
    """Run one node until it is signalled to stop (SIGTERM: planned stop, aborting nothing)."""
    from bramblebeam.node import run_node

    flags: dict[str, Any] = {
        "node": name,
        "zone": zone,
        "region": region,
        "platform.url": platform_url,
        "log.level": log_level,
        "log.format": log_format,
        "drain_seconds": drain_seconds,
    }
    values = {key: value for key, value in flags.items() if value is not None}
    for section, endpoint in (("client", client), ("peer", peer), ("admin", admin)):
        values.update(_endpoint_values(section, endpoint))
    settings = _load_or_exit(config, values, overrides or [])
    configure_logging(settings.log.level, settings.log.format)
    sys.exit(run_node(settings))


@config_commands.command("check")
def config_check(
    file: Annotated[Path, typer.Argument(help="Settings file (TOML).")],
    as_json: Annotated[bool, typer.Option("--json", help="Problems as JSON.")] = False,
) -> None:
    """Check a settings file and print each invalid value. Exit code 0: valid, 2: invalid."""
    match load_settings(file):
        case Result(tag="ok"):
            typer.echo(json.dumps({"problems": []}) if as_json else f"{file}: good")
        case Result(error=error):
            _show_problems(error, as_json)
            raise typer.Exit(EXIT_BAD_SETTINGS)


@config_commands.command("example")
def config_example() -> None:
    """Print an example settings file that explains every key."""
    typer.echo(example_text(), nl=False)


def example_text() -> str:
    """Return the text of the example settings file."""
    return files("bramblebeam.settings").joinpath("example.toml").read_text(encoding="utf-8")


def _endpoint_values(section: str, text: str | None) -> dict[str, Any]:
    if text is None:
        return {}
    host, _, port = text.rpartition(":")
    return {f"{section}.host": host or text, f"{section}.port": port}


def _load_or_exit(config: Path | None, flags: dict[str, Any], overrides: list[str]) -> NodeSettings:
    values = dict(flags)
    for text in overrides:
        match parse_override(text):
            case Result(tag="ok", ok=(key, value)):
                values[key] = value
            case Result(error=problem):
                _exit_with(problem)
    match load_settings(config, values):
        case Result(tag="ok", ok=settings):
            return settings
        case Result(error=error):
            _show_problems(error, as_json=False)
    raise typer.Exit(EXIT_BAD_SETTINGS)


def _exit_with(problem: SettingProblem) -> None:
    _show_problems(SettingsError((problem,)), as_json=False)
    raise typer.Exit(EXIT_BAD_SETTINGS)


def _show_problems(error: SettingsError, as_json: bool) -> None:
    if as_json:
        listed = [
            {"source": item.source, "key": item.key, "expected": item.expected, "found": item.found}
            for item in error.problems
        ]
        typer.echo(json.dumps({"problems": listed}))
        return
    typer.echo(str(error), err=True)


def main() -> None:
    """Run the program."""
    application()
