"""Drives a statement's state machine: performs its effects and passes it the resulting events."""

import asyncio
from typing import Any, Protocol

from bramblebeam.core.machine import Wakeup
from bramblebeam.core.routing.effects import (
    Abandon,
    Answered,
    AttemptFailed,
    Effect,
    Finish,
    GroupUpdated,
    Hold,
    PositionAnswered,
    Refresh,
    RequestPosition,
    SendRequest,
    Started,
)
from bramblebeam.core.statement import AbandonRequest, ExecuteReply, PositionReply
from bramblebeam.services.edge.confirmations import ConfirmationBatcher
from bramblebeam.services.edge.groups import GroupTracker
from bramblebeam.services.edge.peers import Peers
from bramblebeam.services.transport.messages import PeerFailure

FALLBACK_REFRESH_INTERVAL = 0.5
"""Seconds between status requests for a group whose reads fall back to the primary."""


class StatementMachine(Protocol):
    """`Execution` or `PinnedExecution`."""

    def handle(self, event: Any, now: float) -> list[Effect]:
        """Process one event at time `now` (seconds); return the effects."""

    def next_wakeup(self) -> float | None:
        """Return when `Wakeup` is due (seconds)."""


class Driver:
    """Runs the state machines of a node's statements; it holds no state of a statement itself."""

    def __init__(self, peers: Peers, tracker: GroupTracker) -> None:
        self._peers = peers
        self._tracker = tracker
        self._confirmations = ConfirmationBatcher(peers)

    async def run(self, machine: StatementMachine, session: str) -> Finish:
        """Run the statement to its final result.

        When cancelled, it requests the owner that was last sent the statement to abandon it.
        """
        loop = asyncio.get_running_loop()
        last_sent: SendRequest | None = None
        event: Any = Started()
        try:
            while True:
                for effect in machine.handle(event, loop.time()):
                    match effect:
                        case SendRequest():
                            last_sent = effect
                            event = await self._send(effect)
                        case Finish():
                            return effect
                        case Refresh(group):
                            self._tracker.refresh(group, FALLBACK_REFRESH_INTERVAL)
                        case Abandon(node, instance, abandoned):
                            self._peers.post(node, AbandonRequest(abandoned, instance))
                        case RequestPosition():
                            event = await self._request_position(effect)
                        case Hold():
                            event = await self._hold(effect, machine.next_wakeup())
        except asyncio.CancelledError:
            if last_sent is not None:
                abandon = AbandonRequest(session, last_sent.request.instance)
                self._peers.post(last_sent.node, abandon)
            raise

    async def _send(self, effect: SendRequest) -> Any:
        answer = await self._peers.request(effect.node, effect.request, effect.timeout)
        match answer:
            case ExecuteReply():
                return Answered(answer)
            case PeerFailure(sent, detail):
                return AttemptFailed(sent, detail)
        return AttemptFailed(True, f"unexpected answer {type(answer).__name__}")

    async def _request_position(self, effect: RequestPosition) -> Any:
        answer = await self._confirmations.confirm(effect)
        match answer:
            case PositionReply():
                return PositionAnswered(answer)
            case PeerFailure(sent, detail):
                return AttemptFailed(sent, detail)
        return AttemptFailed(True, f"unexpected answer {type(answer).__name__}")

    async def _hold(self, effect: Hold, wakeup: float | None) -> Any:
        if effect.refresh:
            self._tracker.refresh(effect.group)
        now = asyncio.get_running_loop().time()
        timeout = 0.0 if wakeup is None else max(0.0, wakeup - now)
        if not effect.refresh:
            await asyncio.sleep(timeout)
            return Wakeup()
        if await self._tracker.wait(effect.group, timeout):
            return GroupUpdated()
        return Wakeup()
