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
    """A row that does not come into force; the one before it, if any, stays."""

    row: Row
    detail: str


class ViewBuilder:
    """Holds the parsed rows; `view` is replaced, never changed."""

    def __init__(self) -> None:
        self.view = ConfigurationView()

    def apply(self, rows: Iterable[Row]) -> list[InvalidRow]:
        """Put the rows in force; return those that are wrong."""
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
    """The next view. A mapping is copied when its first row changes."""

    def __init__(self, view: ConfigurationView) -> None:
        self.version = view.version
        self._before = view
        self._groups: dict[GroupId, GroupSpec] | None = None
        self._limits: dict[tuple[ServiceId, GroupId], LimitSpec] | None = None
        self._weights: dict[InstanceId, WeightSpec] | None = None

    def view(self) -> ConfigurationView:
        """Return the view, with the mappings of the one before where nothing changed."""
        before = self._before
        return ConfigurationView(
            self.version,
            before.groups if self._groups is None else self._groups,
            before.limits if self._limits is None else self._limits,
            before.weights if self._weights is None else self._weights,
        )

    def put(self, key: RowKey, spec: Spec) -> None:
        """Set one row."""
        match spec:
            case GroupSpec():
                self._changed_groups()[GroupId(key.name)] = spec
            case LimitSpec():
                self._changed_limits()[spec.service, spec.group] = spec
            case WeightSpec():
                self._changed_weights()[spec.instance] = spec

    def remove(self, key: RowKey) -> None:
        """Take one row out."""
        match key.kind:
            case "group":
                self._changed_groups().pop(GroupId(key.name), None)
            case "limit":
                service, _, group = key.name.rpartition(".")
                self._changed_limits().pop((ServiceId(service), GroupId(group)), None)
            case "weight":
                self._changed_weights().pop(InstanceId(key.name), None)

    def _changed_groups(self) -> dict[GroupId, GroupSpec]:
        if self._groups is None:
            self._groups = dict(self._before.groups)
        return self._groups

    def _changed_limits(self) -> dict[tuple[ServiceId, GroupId], LimitSpec]:
        if self._limits is None:
            self._limits = dict(self._before.limits)
        return self._limits

    def _changed_weights(self) -> dict[InstanceId, WeightSpec]:
        if self._weights is None:
            self._weights = dict(self._before.weights)
        return self._weights
