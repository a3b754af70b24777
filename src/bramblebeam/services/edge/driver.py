"""Drives the machine of one statement: carries out its effects and feeds it what happens."""

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
"""Seconds between questions about a group whose reads fall back to the primary."""


class StatementMachine(Protocol):
    """`Execution` or `PinnedExecution`."""

    def handle(self, event: Any, now: float) -> list[Effect]:
        """Take one event at time `now` (seconds)."""

    def next_wakeup(self) -> float | None:
        """Return when `Wakeup` is due (seconds)."""


class Driver:
    """Runs statements' machines. One for a node; it holds no state of a statement."""

    def __init__(self, peers: Peers, tracker: GroupTracker) -> None:
        self._peers = peers
        self._tracker = tracker
        self._confirmations = ConfirmationBatcher(peers)

    async def run(self, machine: StatementMachine, session: str) -> Finish:
        """Carry the statement to its final answer.

        When cancelled, it tells the owner that was asked last to give the statement up.
        """
        loop = asyncio.get_running_loop()
        asked: SendRequest | None = None
        event: Any = Started()
        try:
            while True:
                for effect in machine.handle(event, loop.time()):
                    match effect:
                        case SendRequest():
                            asked = effect
                            event = await self._ask(effect)
                        case Finish():
                            return effect
                        case Refresh(group):
                            self._tracker.refresh(group, FALLBACK_REFRESH_INTERVAL)
                        case Abandon(node, instance, abandoned):
                            self._peers.post(node, AbandonRequest(abandoned, instance))
                        case RequestPosition():
                            event = await self._ask_position(effect)
                        case Hold():
                            event = await self._hold(effect, machine.next_wakeup())
        except asyncio.CancelledError:
            if asked is not None:
                abandon = AbandonRequest(session, asked.request.instance)
                self._peers.post(asked.node, abandon)
            raise

    async def _ask(self, effect: SendRequest) -> Any:
        answer = await self._peers.request(effect.node, effect.request, effect.timeout)
        match answer:
            case ExecuteReply():
                return Answered(answer)
            case PeerFailure(sent, detail):
                return AttemptFailed(sent, detail)
        return AttemptFailed(True, f"unexpected answer {type(answer).__name__}")

    async def _ask_position(self, effect: RequestPosition) -> Any:
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
