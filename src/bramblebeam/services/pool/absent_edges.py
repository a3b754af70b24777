"""Which edges are gone, so that the transactions of their sessions are to be rolled back.

A session's name begins with its edge's node and the node's start: `NODE/START/NUMBER`.
"""

from bramblebeam.core.identity import NodeId
from bramblebeam.core.membership.view import MemberState, MembersView

RESTART_IDLE_SECONDS = 3.0


def start_of(session: str) -> str:
    """Return the part of a session's name that names one start of one node."""
    return session.rpartition("/")[0]


def node_of(session: str) -> NodeId:
    """Return the node of a session's edge."""
    return NodeId(start_of(session).rpartition("/")[0])


class AbsentEdges:
    """Knows the latest start of each edge, and which nodes cannot come back to a transaction."""

    def __init__(self, node: NodeId) -> None:
        self._node = node
        self._starts: dict[NodeId, str] = {}
        self._members = MembersView()

    def set_members(self, members: MembersView) -> None:
        """Take the view of the members."""
        self._members = members

    def record_request(self, session: str) -> None:
        """Note a request of a session: it tells its edge's latest start."""
        start = start_of(session)
        self._starts[NodeId(start.rpartition("/")[0])] = start

    def is_absent(self, session: str, idle: float) -> bool:
        """Whether the session's edge is dead, was started anew, or is in a zone out of reach.

        `idle`: seconds since the session's last statement. A start that was heard counts only
        against a session that has been idle for a while, as an older request may arrive late.
        """
        start = start_of(session)
        if idle > RESTART_IDLE_SECONDS and self._starts.get(node_of(session), start) != start:
            return True
        member = self._members.members.get(node_of(session))
        if member is None or member.spec.node == self._node:
            return False
        return member.state is MemberState.DEAD or member.spec.zone in self._members.unreachable
