"""The view of the rows in force, and what is derived from it."""

import json

from bramblebeam.core.configuration.rows import Row, RowKey
from bramblebeam.core.configuration.view_builder import ViewBuilder
from bramblebeam.core.identity import GroupId, InstanceId, NodeId, ServiceId, ZoneId
from bramblebeam.core.ownership.assignment import Assignment
from bramblebeam.core.pool.limits import limits_of, limits_of_groups

MEMBER = {"instance": "a-1", "zone": "z", "host": "127.0.0.1", "port": 1}
GROUP = Row(RowKey("group", "a"), 1, json.dumps({"members": [MEMBER]}))
LIMIT = Row(RowKey("limit", "s.a"), 2, json.dumps({"service": "s", "group": "a", "slots": 3}))
WEIGHT = Row(RowKey("weight", "a-1"), 3, json.dumps({"instance": "a-1", "read_weight": 7}))


def built() -> ViewBuilder:
    builder = ViewBuilder()
    assert builder.apply([GROUP, LIMIT, WEIGHT]) == []
    return builder


def test_a_change_keeps_the_mappings_of_other_kinds() -> None:
    builder = built()
    before = builder.view
    builder.apply([WEIGHT._replace(version=4, spec=json.dumps({"instance": "a-1"}))])
    after = builder.view
    assert after.groups is before.groups
    assert after.limits is before.limits
    assert before.weights[InstanceId("a-1")].read_weight == 7
    assert after.weights[InstanceId("a-1")].read_weight == 100
    assert after.version == 4


def test_deleted_rows_are_removed_and_invalid_rows_keep_the_previous_version() -> None:
    builder = built()
    malformed = WEIGHT._replace(version=5, spec='{"instance": "a-1", "weight": 1}')
    (invalid,) = builder.apply([malformed, LIMIT._replace(version=6, spec="")])
    assert invalid.detail == "spec.weight: there is no such field"
    assert builder.view.weights[InstanceId("a-1")].read_weight == 7
    assert builder.view.limits == {}
    assert builder.view.version == 6


def test_names_must_follow_the_spec() -> None:
    misnamed = LIMIT._replace(key=RowKey("limit", "other.a"))
    (invalid,) = ViewBuilder().apply([misnamed])
    assert invalid.detail == "name: expected 's.a' to match the spec, got 'other.a'"


def test_assignment_and_limits_follow_the_view() -> None:
    builder = built()
    assignment = Assignment(NodeId("n"), ZoneId("z"))
    assignment.set_owners([NodeId("n")])
    assignment.configure(builder.view)
    assert assignment.wanted == {InstanceId("a-1")}
    builder.apply([GROUP._replace(version=7, spec="")])
    assignment.configure(builder.view)
    assert assignment.wanted == frozenset()
    group = GroupId("a")
    limits = limits_of_groups(builder.view, {group, GroupId("b")})
    assert limits[group] == limits_of(builder.view, group)
    assert limits[group].services[ServiceId("s")].slots == 3
    assert limits[GroupId("b")].services == {}
