"""The state of one caller connection that decides what its statements must see."""

from dataclasses import dataclass, field

from bramblebeam.core.identity import GroupId, InstanceId, NodeId, Position, ServiceId
from bramblebeam.core.session.token import CausalToken
from bramblebeam.core.statement import RequestId

READS_PER_REPLICA = 100
"""After so many reads a session's replica is drawn again, so that the weights rule over time."""

NO_GROUP = GroupId("")


@dataclass(slots=True)
class Transaction:
    """An open transaction and the back-end connection's owner that it is pinned at."""

    name: str
    group: GroupId
    instance: InstanceId
    node: NodeId
    term: int


@dataclass(slots=True)
class StickyReplica:
    """The instance a session reads from: valid for one version of the rows and some reads."""

    instance: InstanceId
    configuration_version: int
    reads_left: int = READS_PER_REPLICA


@dataclass(slots=True)
class Session:
    """One caller connection.

    `identifier` is unique over nodes and restarts. `roaming_name` is the session's own name where
    the caller gave one: other connections, also at other nodes, may belong to it. `token_carried`
    tells that the caller takes the causal token along itself, so that the floor is known.
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
        """Whether a transaction is open at a back end."""
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

        So it is for a named session without a carried token, as it may have written elsewhere at
        any time, and after a write that came back without a position.
        """
        return group in self._unknown or (bool(self.roaming_name) and not self.token_carried)

    def name_for_floor(self, group: GroupId) -> str:
        """Return the name whose acknowledged writes the floor must cover; empty: everything.

        After a write that may have run, only the newest position surely covers it.
        """
        return "" if group in self._unknown else self.roaming_name

    def floor(self, group: GroupId) -> Position:
        """Return the position that a read must at least see, as far as this node knows."""
        return self.token.position(group)

    def record_confirmed(self, group: GroupId, position: Position) -> None:
        """Take a position confirmed by the primary after the statement in hand arrived."""
        self.token.advance(group, position)
        self._unknown.discard(group)

    def record_write(self, group: GroupId, position: Position) -> None:
        """Note an acknowledged write. The zero position: it is unknown where the write stands."""
        if position.offset == 0:
            self._unknown.add(group)
            return
        self.token.advance(group, position)

    def record_uncertain_write(self, group: GroupId) -> None:
        """Note a write that may have run: the next read must see it if it did."""
        self._unknown.add(group)

    def read(self, group: GroupId, position: Position) -> None:
        """Note what a replica has shown, so that another one shows no less."""
        self.token.advance(group, position)

    def adopt_token(self, token: CausalToken) -> None:
        """Take the token the caller brought. From now on the caller vouches for the floor."""
        self.token.merge(token)
        self.token_carried = True

    def reset(self) -> None:
        """Forget the connection's settings, not what it wrote."""
        self.autocommit = True
        self.transaction = None
        self.last_insert_id = 0
        self.affected_rows = 0
