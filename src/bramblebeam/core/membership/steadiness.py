"""Whether a node may rely on its member table to name every node that is alive.

A table lacks nodes that this one has not met yet, and nodes that it lost although they live on, as
it does where this node itself is cut off: however long that lasts, the others are there. Times are
seconds of the steady clock.
"""

from bramblebeam.core.identity import NodeId
from bramblebeam.core.membership.view import MemberState, MembersView

UNSTEADY_SECONDS = 10.0
"""After its start and after each change of the members a node does not rely on knowing all."""
GONE_SECONDS = 900.0
"""A member that was lost, and did not say that it leaves, counts as gone after so long."""


class MembersSteadiness:
    """Follows the member table of one node."""

    def __init__(self) -> None:
        self._known: dict[NodeId, MemberState] = {}
        self._lost: dict[NodeId, float] = {}
        self._changed_at = float("-inf")

    def restart(self, now: float) -> None:
        """Begin anew, as the node's services started."""
        self._changed_at = now

    def update(self, members: MembersView, now: float) -> None:
        """Follow the members."""
        found = {node: member.state for node, member in members.members.items()}
        for node, state in self._known.items():
            if node not in found and state is not MemberState.LEAVING:
                self._lost[node] = now
        for node in found:
            self._lost.pop(node, None)
        if found.keys() != self._known.keys():
            self._changed_at = now
        self._known = found

    def knows_all(self, now: float) -> bool:
        """Whether no node can be alive that the table lacks."""
        is_lost = any(now - lost_at < GONE_SECONDS for lost_at in self._lost.values())
        return not is_lost and now - self._changed_at > UNSTEADY_SECONDS
