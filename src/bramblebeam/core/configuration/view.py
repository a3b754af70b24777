"""The immutable view of the rows in force that other services read."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from bramblebeam.core.configuration.rows import GroupSpec, LimitSpec, WeightSpec
from bramblebeam.core.identity import GroupId, InstanceId, ServiceId


@dataclass(frozen=True, slots=True)
class ConfigurationView:
    """The rows in force at one node. `version` is the highest version applied.

    A mapping of which no row changed is the same object as in the view before: what was derived
    from it stays good.
    """

    version: int = 0
    groups: Mapping[GroupId, GroupSpec] = field(default_factory=dict)
    limits: Mapping[tuple[ServiceId, GroupId], LimitSpec] = field(default_factory=dict)
    weights: Mapping[InstanceId, WeightSpec] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """Published by the configuration service each time rows come into force."""

    view: ConfigurationView
