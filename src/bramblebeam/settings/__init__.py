"""Settings: a TOML file and flags, validated before anything starts."""

from bramblebeam.settings.load import (
    SettingProblem,
    SettingsError,
    load_settings,
    parse_override,
)
from bramblebeam.settings.model import NodeSettings

__all__ = ["NodeSettings", "SettingProblem", "SettingsError", "load_settings", "parse_override"]
