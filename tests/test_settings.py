"""Settings files, flags and their errors; the example file; the events page."""

import json
import logging
import re
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest
from pydantic import BaseModel
from typer.testing import CliRunner

from bramblebeam.cli.main import application, example_text
from bramblebeam.events import CATALOGUE, log_event
from bramblebeam.events.catalogue import NODE_STARTED, define
from bramblebeam.events.formatting import JsonFormatter
from bramblebeam.events.page import events_page
from bramblebeam.settings import NodeSettings, load_settings, parse_override
from bramblebeam.settings.load import FLAGS_SOURCE

ROOT = Path(__file__).parent.parent
MINIMAL = 'node = "a"\nzone = "z"\nregion = "r"\n'


def problems(tmp_path: Path, text: str, **flags: Any) -> list[tuple[str, str]]:
    file = tmp_path / "node.toml"
    file.write_text(text)
    error = load_settings(file, flags).error
    return [(problem.source.rpartition("/")[2], problem.key) for problem in error.problems]


def test_minimal_file_is_enough(tmp_path: Path) -> None:
    file = tmp_path / "node.toml"
    file.write_text(MINIMAL)
    settings = load_settings(file, {"client.port": "3307", "node": "b"}).ok
    assert (settings.node, settings.zone, settings.client.port) == ("b", "z", 3307)


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ('node = "a"\nzone = "z"\n', "region"),
        (MINIMAL + "colour = 1\n", "colour"),
        (MINIMAL + "[client]\nport = 70000\n", "client.port"),
        (MINIMAL + "[log]\nlevel = 'loud'\n", "log.level"),
        (MINIMAL + "[[admin.tokens]]\ntoken = 'x'\nrole = 'read'\n", "admin.tokens.0.token"),
        (MINIMAL + "[client", "(file)"),
    ],
)
def test_wrong_value_is_named_with_its_file_and_key(tmp_path: Path, text: str, key: str) -> None:
    assert problems(tmp_path, text) == [("node.toml", key)]


def test_all_wrong_values_are_reported_at_once(tmp_path: Path) -> None:
    text = 'node = 1\nzone = "z"\nregion = "r"\n[client]\nport = -1\n'
    assert len(problems(tmp_path, text)) == 2


def test_wrong_flag_is_named_as_a_flag(tmp_path: Path) -> None:
    assert problems(tmp_path, MINIMAL, drain_seconds="soon") == [(FLAGS_SOURCE, "drain_seconds")]


def test_missing_file_is_an_error_that_names_it(tmp_path: Path) -> None:
    error = load_settings(tmp_path / "none.toml").error
    assert "none.toml" in str(error)


def test_secrets_are_not_shown(tmp_path: Path) -> None:
    file = tmp_path / "node.toml"
    file.write_text(MINIMAL + "[[admin.tokens]]\ntoken = 'hidden'\nrole = 'read'\n")
    assert "hidden" not in str(load_settings(file).error)


def test_override_text() -> None:
    assert parse_override("client.port=3307").ok == ("client.port", 3307)
    assert parse_override("node=a=b").ok == ("node", "a=b")
    assert parse_override("node").error.key == "node"


def leaf_keys(model: type[BaseModel], prefix: str = "") -> set[str]:
    keys: set[str] = set()
    for name, field in model.model_fields.items():
        found = re.findall(r"\b(\w+Settings)\b", str(field.annotation))
        inner = [cls for cls in all_sections() if cls.__name__ in found]
        if inner:
            keys |= leaf_keys(inner[0], f"{prefix}{name}.")
        else:
            keys.add(prefix + name)
    return keys


def all_sections() -> list[type[BaseModel]]:
    from bramblebeam.settings import model

    return [cls for cls in vars(model).values() if isinstance(cls, type)]


def keys_of(content: Any, prefix: str = "") -> set[str]:
    if isinstance(content, dict):
        inner = [keys_of(value, f"{prefix}.{key}") for key, value in content.items()]
        return set().union(*inner)
    if isinstance(content, list) and content and isinstance(content[0], dict):
        return keys_of(content[0], prefix)
    return {prefix.removeprefix(".")}


def test_example_is_valid_and_has_every_key() -> None:
    everything = re.sub(r"(?m)^#(?=\[|\w+ = )", "", example_text())
    NodeSettings.model_validate(tomllib.loads(example_text()))
    content = tomllib.loads(everything)
    NodeSettings.model_validate(content)
    assert keys_of(content) == leaf_keys(NodeSettings)


def test_config_check_prints_problems_as_json(tmp_path: Path) -> None:
    file = tmp_path / "node.toml"
    file.write_text(MINIMAL + "[log]\nlevel = 'loud'\n")
    run = CliRunner().invoke(application, ["config", "check", str(file), "--json"])
    assert run.exit_code == 2
    assert json.loads(run.stdout)["problems"][0]["key"] == "log.level"
    file.write_text(MINIMAL)
    assert CliRunner().invoke(application, ["config", "check", str(file)]).exit_code == 0


def test_json_log_line_carries_number_and_fields() -> None:
    logger = logging.getLogger("test.events")
    records: list[logging.LogRecord] = []
    handler = logging.Handler()
    handler.emit = records.append  # type: ignore[method-assign]
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    log_event(logger, NODE_STARTED, node="a", zone="z")
    line = json.loads(JsonFormatter().format(records[0]))
    assert (line["event"], line["fields"]) == (1001, {"node": "a", "zone": "z"})


def test_event_numbers_are_given_once() -> None:
    with pytest.raises(ValueError, match="defined already"):
        define(1001, logging.INFO, "again")


def test_events_page_agrees_with_the_catalogue() -> None:
    assert (ROOT / "docs" / "events.md").read_text(encoding="utf-8") == events_page()


def test_every_event_is_used() -> None:
    catalogue = ROOT / "src" / "bramblebeam" / "events" / "catalogue.py"
    names = re.findall(r"(?m)^([A-Z_]+) = define\(", catalogue.read_text())
    sources = [path for path in catalogue.parent.parent.rglob("*.py") if path != catalogue]
    code = "\n".join(path.read_text() for path in sources)
    assert len(names) == len(CATALOGUE)
    assert [name for name in names if not re.search(rf"\b{name}\b", code)] == []


def test_services_log_through_numbered_events() -> None:
    sources = [
        path
        for part in ("services", "edges", "kernel")
        for path in (ROOT / "src" / "bramblebeam" / part).rglob("*.py")
    ]
    direct = re.compile(r"\blogger\.(info|warning|error|critical|exception)\(")
    assert [str(path) for path in sources if direct.search(path.read_text())] == []


def test_a_node_loads_neither_the_lab_nor_operators_commands() -> None:
    code = (
        "import sys; from bramblebeam.cli.main import application; import bramblebeam.node; "
        "print([name for name in sys.modules if name.startswith(('bramblebeam.lab', 'rich.live')) "
        "or name == 'bramblebeam.cli.operator'])"
    )
    run = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True, timeout=60
    )
    assert run.stdout.strip() == "[]"
