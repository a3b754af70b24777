"""Builds the immutable view of the rows in force from the rows as they are applied."""

from collections.abc import Iterable
from dataclasses import dataclass

from expression import Result

from bramblebeam.core.configuration.rows import (
    GroupSpec,
    LimitSpec,
    Row,
    RowKey,
    Spec,
    WeightSpec,
)
from bramblebeam.core.configuration.validation import parse_spec
from bramblebeam.core.configuration.view import ConfigurationView
from bramblebeam.core.identity import GroupId, InstanceId, ServiceId


@dataclass(frozen=True, slots=True)
class InvalidRow:
    """A row that is not put in force; its previous version, if any, stays in force."""

    row: Row
    detail: str


class ViewBuilder:
    """Holds the parsed rows; `view` is replaced by each update and never modified."""

    def __init__(self) -> None:
        self.view = ConfigurationView()

    def apply(self, rows: Iterable[Row]) -> list[InvalidRow]:
        """Put the rows in force; return the invalid ones."""
        draft = _Draft(self.view)
        invalid: list[InvalidRow] = []
        for row in rows:
            draft.version = max(draft.version, row.version)
            if not row.spec:
                draft.remove(row.key)
                continue
            match parse_spec(row.key, row.spec):
                case Result(tag="ok", ok=spec):
                    draft.put(row.key, spec)
                case Result(error=detail):
                    invalid.append(InvalidRow(row, detail))
        self.view = draft.view()
        return invalid


class _Draft:
    """The next view. A mapping is copied on its first change."""

    def __init__(self, view: ConfigurationView) -> None:
        self.version = view.version
        self._previous = view
        self._groups: dict[GroupId, GroupSpec] | None = None
        self._limits: dict[tuple[ServiceId, GroupId], LimitSpec] | None = None
        self._weights: dict[InstanceId, WeightSpec] | None = None

    def view(self) -> ConfigurationView:
        """Return the view; mappings without changes are those of the previous view."""
        previous = self._previous
        return ConfigurationView(
            self.version,
            previous.groups if self._groups is None else self._groups,
            previous.limits if self._limits is None else self._limits,
            previous.weights if self._weights is None else self._weights,
        )

    def put(self, key: RowKey, spec: Spec) -> None:
        """Set one row."""
        match spec:
            case GroupSpec():
                self._mutable_groups()[GroupId(key.name)] = spec
            case LimitSpec():
                self._mutable_limits()[spec.service, spec.group] = spec
            case WeightSpec():
                self._mutable_weights()[spec.instance] = spec

    def remove(self, key: RowKey) -> None:
        """Remove one row."""
        match key.kind:
            case "group":
                self._mutable_groups().pop(GroupId(key.name), None)
            case "limit":
                service, _, group = key.name.rpartition(".")
                self._mutable_limits().pop((ServiceId(service), GroupId(group)), None)
            case "weight":
                self._mutable_weights().pop(InstanceId(key.name), None)

    def _mutable_groups(self) -> dict[GroupId, GroupSpec]:
        if self._groups is None:
            self._groups = dict(self._previous.groups)
        return self._groups

    def _mutable_limits(self) -> dict[tuple[ServiceId, GroupId], LimitSpec]:
        if self._limits is None:
            self._limits = dict(self._previous.limits)
        return self._limits

    def _mutable_weights(self) -> dict[InstanceId, WeightSpec]:
        if self._weights is None:
            self._weights = dict(self._previous.weights)
        return self._weights
