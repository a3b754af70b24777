"""Finds edges that are gone, so that the transactions of their sessions can be rolled back.

A session's name begins with its edge's node and an identifier of that node's start:
`NODE/START/NUMBER`.
"""

from bramblebeam.core.identity import NodeId
from bramblebeam.core.membership.view import MemberState, MembersView

RESTART_IDLE_SECONDS = 3.0
"""Idle time after which a session of a start other than the recorded one is absent (seconds)."""


def start_of(session: str) -> str:
    """Return the `NODE/START` prefix of a session's name, which identifies one start of a node."""
    return session.rpartition("/")[0]


def node_of(session: str) -> NodeId:
    """Return the node of a session's edge."""
    return NodeId(start_of(session).rpartition("/")[0])


class AbsentEdges:
    """Tracks the latest start of each edge and the nodes that cannot resume a transaction."""

    def __init__(self, node: NodeId) -> None:
        self._node = node
        self._starts: dict[NodeId, str] = {}
        self._members = MembersView()

    def set_members(self, members: MembersView) -> None:
        """Set the current view of the members."""
        self._members = members

    def record_request(self, session: str) -> None:
        """Record a request of a session, whose name contains its edge's latest start."""
        start = start_of(session)
        self._starts[NodeId(start.rpartition("/")[0])] = start

    def is_absent(self, session: str, idle: float) -> bool:
        """Whether the session's edge is dead, has restarted, or is in an unreachable zone.

        `idle`: seconds since the session's last statement. A recorded start counts only against a
        session that has been idle for a while, as a request of an older start may arrive late.
        """
        start = start_of(session)
        if idle > RESTART_IDLE_SECONDS and self._starts.get(node_of(session), start) != start:
            return True
        member = self._members.members.get(node_of(session))
        if member is None or member.spec.node == self._node:
            return False
        return member.state is MemberState.DEAD or member.spec.zone in self._members.unreachable
