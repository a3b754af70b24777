"""Builds the immutable view of the rows in force from the rows as they are applied."""

from collections.abc import Iterable
from dataclasses import dataclass

from expression import Result

from bramblebeam.core.configuration.rows import GroupSpec, LimitSpec, Row, Spec, WeightSpec
from bramblebeam.core.configuration.validation import parse_spec
from bramblebeam.core.configuration.view import ConfigurationView
from bramblebeam.core.identity import GroupId, InstanceId, ServiceId


@dataclass(frozen=True, slots=True)
class InvalidRow:
    """A row that does not come into force; the one before it, if any, stays."""

    row: Row
    detail: str


class ViewBuilder:
    """Holds the parsed rows; `view` is replaced, never changed."""

    def __init__(self) -> None:
        self.view = ConfigurationView()

    def apply(self, rows: Iterable[Row]) -> list[InvalidRow]:
        """Put the rows in force; return those that are wrong."""
        groups = dict(self.view.groups)
        limits = dict(self.view.limits)
        weights = dict(self.view.weights)
        version = self.view.version
        invalid: list[InvalidRow] = []
        for row in rows:
            version = max(version, row.version)
            if not row.spec:
                _remove(row, groups, limits, weights)
                continue
            match parse_spec(row.key, row.spec):
                case Result(tag="ok", ok=spec):
                    _put(row, spec, groups, limits, weights)
                case Result(error=detail):
                    invalid.append(InvalidRow(row, detail))
        self.view = ConfigurationView(version, groups, limits, weights)
        return invalid


def _put(
    row: Row,
    spec: Spec,
    groups: dict[GroupId, GroupSpec],
    limits: dict[tuple[ServiceId, GroupId], LimitSpec],
    weights: dict[InstanceId, WeightSpec],
) -> None:
    match spec:
        case GroupSpec():
            groups[GroupId(row.key.name)] = spec
        case LimitSpec():
            limits[spec.service, spec.group] = spec
        case WeightSpec():
            weights[spec.instance] = spec


def _remove(
    row: Row,
    groups: dict[GroupId, GroupSpec],
    limits: dict[tuple[ServiceId, GroupId], LimitSpec],
    weights: dict[InstanceId, WeightSpec],
) -> None:
    match row.key.kind:
        case "group":
            groups.pop(GroupId(row.key.name), None)
        case "limit":
            service, _, group = row.key.name.rpartition(".")
            limits.pop((ServiceId(service), GroupId(group)), None)
        case "weight":
            weights.pop(InstanceId(row.key.name), None)
