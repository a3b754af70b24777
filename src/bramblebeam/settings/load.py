"""Loads a node's settings: reads a TOML file, applies the flags and validates the result."""

import json
import tomllib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from expression import Error, Ok, Result
from pydantic import ValidationError

from bramblebeam.settings.model import NodeSettings

FLAGS_SOURCE = "flags"


@dataclass(frozen=True, slots=True)
class SettingProblem:
    """One invalid value. `source` is the file's path, or `flags`; `key` is dotted."""

    source: str
    key: str
    expected: str
    found: str = ""

    def __str__(self) -> str:
        found = f", found {self.found}" if self.found else ""
        return f"{self.source}: {self.key}: {self.expected}{found}"


@dataclass(frozen=True, slots=True)
class SettingsError:
    """All invalid values that were found; the node does not start. Not retriable."""

    problems: tuple[SettingProblem, ...]

    def __str__(self) -> str:
        return "\n".join(str(problem) for problem in self.problems)


def load_settings(
    path: Path | None, overrides: Mapping[str, Any] | None = None
) -> Result[NodeSettings, SettingsError]:
    """Return the settings of the file at `path` (None: no file) with overrides applied.

    `overrides` maps dotted keys to values.
    """
    source = str(path) if path is not None else FLAGS_SOURCE
    content: dict[str, Any] = {}
    if path is not None:
        match _read(path):
            case Result(tag="ok", ok=read):
                content = read
            case Result(error=problem):
                return Error(SettingsError((problem,)))
    for key, value in (overrides or {}).items():
        override_problem = _apply_override(content, key, value)
        if override_problem is not None:
            return Error(SettingsError((override_problem,)))
    try:
        return Ok(NodeSettings.model_validate(content))
    except ValidationError as error:
        return Error(SettingsError(_problems(error, source, tuple(overrides or ()))))


def parse_override(text: str) -> Result[tuple[str, Any], SettingProblem]:
    """Split a flag's `KEY=VALUE`. A value that is valid JSON is decoded; others are text."""
    key, equals, value = text.partition("=")
    if not equals or not key.strip():
        return Error(SettingProblem(FLAGS_SOURCE, text, "expected KEY=VALUE"))
    return Ok((key.strip(), _parse_value(value)))


def _read(path: Path) -> Result[dict[str, Any], SettingProblem]:
    try:
        return Ok(tomllib.loads(path.read_text(encoding="utf-8")))
    except OSError as error:
        return Error(SettingProblem(str(path), "(file)", f"cannot be read: {error.strerror}"))
    except UnicodeDecodeError:
        return Error(SettingProblem(str(path), "(file)", "expected UTF-8 text"))
    except tomllib.TOMLDecodeError as error:
        return Error(SettingProblem(str(path), "(file)", f"expected TOML: {error}"))
    except RecursionError:
        return Error(SettingProblem(str(path), "(file)", "expected TOML: nested too deeply"))


def _apply_override(content: dict[str, Any], key: str, value: Any) -> SettingProblem | None:
    *parents, last = key.split(".")
    section = content
    for parent in parents:
        inner = section.setdefault(parent, {})
        if not isinstance(inner, dict):
            return SettingProblem(FLAGS_SOURCE, key, f"{parent} is not a section")
        section = inner
    section[last] = value
    return None


def _parse_value(text: str) -> Any:
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        return text


def _problems(
    error: ValidationError, path: str, overridden: Sequence[str]
) -> tuple[SettingProblem, ...]:
    found = []
    for detail in error.errors(include_url=False):
        key = ".".join(str(part) for part in detail["loc"]) or "(file)"
        is_flag = any(key == flag or key.startswith(f"{flag}.") for flag in overridden)
        missing = detail["type"] == "missing"
        found.append(
            SettingProblem(
                source=FLAGS_SOURCE if is_flag else path,
                key=key,
                expected=_expected(detail["type"], detail["msg"]),
                found="" if missing else _displayed(key, detail["input"]),
            )
        )
    return tuple(found)


def _expected(kind: str, message: str) -> str:
    if kind == "missing":
        return "expected a value, none is given"
    if kind == "extra_forbidden":
        return "expected no such key"
    return "expected: " + message.removeprefix("Input should be ")


def _displayed(key: str, value: Any) -> str:
    """Return the value as text for people; secrets are hidden and long values cut."""
    last = key.rpartition(".")[2]
    if last in ("password", "token"):
        return "(not shown)"
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."
