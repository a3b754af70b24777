"""The immutable view of the rows in force, as read by other services."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from bramblebeam.core.configuration.rows import GroupSpec, LimitSpec, WeightSpec
from bramblebeam.core.identity import GroupId, InstanceId, ServiceId


@dataclass(frozen=True, slots=True)
class ConfigurationView:
    """The rows in force at one node. `version` is the highest version applied.

    A mapping without changed rows is the same object as in the previous view, so that data derived
    from it stays valid.
    """

    version: int = 0
    groups: Mapping[GroupId, GroupSpec] = field(default_factory=dict)
    limits: Mapping[tuple[ServiceId, GroupId], LimitSpec] = field(default_factory=dict)
    weights: Mapping[InstanceId, WeightSpec] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """Published by the configuration service whenever rows come into force."""

    view: ConfigurationView
