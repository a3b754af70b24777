"""The state of one caller connection, which determines the floor of its statements."""

from dataclasses import dataclass, field

from bramblebeam.core.identity import GroupId, InstanceId, NodeId, Position, ServiceId
from bramblebeam.core.session.token import CausalToken
from bramblebeam.core.statement import RequestId

READS_PER_REPLICA = 100
"""Reads after which a session draws a new replica, so that reads follow the weights over time."""

NO_GROUP = GroupId("")


@dataclass(slots=True)
class Transaction:
    """An open transaction, and the node that owns the back-end connection it is pinned to."""

    name: str
    group: GroupId
    instance: InstanceId
    node: NodeId
    term: int


@dataclass(slots=True)
class StickyReplica:
    """The instance a session reads from, for one configuration version and some reads."""

    instance: InstanceId
    configuration_version: int
    reads_left: int = READS_PER_REPLICA


@dataclass(slots=True)
class Session:
    """One caller connection.

    `identifier`: unique over nodes and restarts. `roaming_name`: the session's name if the caller
    gave one; connections to other nodes may belong to the same session. `token_carried`: the caller
    carries the causal token itself, so that the floor is known.
    """

    identifier: str
    service: ServiceId
    group: GroupId = NO_GROUP
    roaming_name: str = ""
    token_carried: bool = False
    token: CausalToken = field(default_factory=CausalToken)
    autocommit: bool = True
    transaction: Transaction | None = None
    last_insert_id: int = 0
    affected_rows: int = 0
    sticky: dict[GroupId, StickyReplica] = field(default_factory=dict)
    _unknown: set[GroupId] = field(default_factory=set)
    _sequence: int = 0
    _transactions: int = 0

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open on a back end."""
        return self.transaction is not None

    def next_request(self) -> RequestId:
        """Return a request id that was never used before."""
        self._sequence += 1
        return RequestId(self.identifier, self._sequence)

    def next_transaction_name(self) -> str:
        """Return a transaction name that was never used before."""
        self._transactions += 1
        return f"{self.identifier}/{self._transactions}"

    def must_confirm(self, group: GroupId) -> bool:
        """Whether the floor must be confirmed by the primary before a statement reads.

        True for a named session without a carried token, as it may have written elsewhere at any
        time, and after a write whose position is unknown.
        """
        return group in self._unknown or (bool(self.roaming_name) and not self.token_carried)

    def name_for_floor(self, group: GroupId) -> str:
        """Return the session name whose acknowledged writes the floor must cover; empty: all.

        After a write with an uncertain outcome, only the newest position surely covers it.
        """
        return "" if group in self._unknown else self.roaming_name

    def floor(self, group: GroupId) -> Position:
        """Return the minimum position of a read, as far as this node knows."""
        return self.token.position(group)

    def record_confirmed(self, group: GroupId, position: Position) -> None:
        """Record a position that the primary confirmed after the current statement arrived."""
        self.token.advance(group, position)
        self._unknown.discard(group)

    def record_write(self, group: GroupId, position: Position) -> None:
        """Record an acknowledged write. The zero position means that its position is unknown."""
        if position.offset == 0:
            self._unknown.add(group)
            return
        self.token.advance(group, position)

    def record_uncertain_write(self, group: GroupId) -> None:
        """Record a write with an uncertain outcome: if it ran, the next read must see it."""
        self._unknown.add(group)

    def record_read(self, group: GroupId, position: Position) -> None:
        """Record a replica's position, so that later reads from other replicas see no less."""
        self.token.advance(group, position)

    def adopt_token(self, token: CausalToken) -> None:
        """Merge the token that the caller sent. From now on the caller provides the floor."""
        self.token.merge(token)
        self.token_carried = True

    def reset(self) -> None:
        """Reset the connection's settings, but not its causal token."""
        self.autocommit = True
        self.transaction = None
        self.last_insert_id = 0
        self.affected_rows = 0
