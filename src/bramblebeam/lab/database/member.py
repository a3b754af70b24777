"""One member of the stand-in group: replicated log, rows, peer links and MySQL listener."""

import asyncio
import itertools
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from bramblebeam.core.identity import Address, InstanceId, Position
from bramblebeam.core.machine import Received, Send, Wakeup
from bramblebeam.edges.backend import BackendConnection, BackendError
from bramblebeam.edges.mysql.server import CallerError, MysqlServer
from bramblebeam.lab.database.journal import Journal
from bramblebeam.lab.database.locks import NamedLocks
from bramblebeam.lab.database.log_file import LogFile
from bramblebeam.lab.database.messages import (
    Acknowledged,
    Apply,
    Confirmed,
    MemberId,
    PersistEntries,
    PersistPromise,
    Propose,
    Refused,
    ReplicaStatus,
    TermAccepted,
)
from bramblebeam.lab.database.operations import Batch, Outcome, batch_of
from bramblebeam.lab.database.peers import PeerLinks
from bramblebeam.lab.database.replica import Replica
from bramblebeam.lab.database.session import REPLICATION_USER, DatabaseSession
from bramblebeam.lab.database.store import RowStore

DISCOVERY_TIMEOUT_SECONDS = 1.0
LOOPBACK = Address("127.0.0.1", 0)


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """Settings of a member. `maximum_connections` limits the connections of each named user."""

    instance: InstanceId
    listen: Address = LOOPBACK
    peer_listen: Address = LOOPBACK
    log: Path | None = None
    maximum_connections: Mapping[str, int] = field(default_factory=dict)


class DatabaseMember:
    """A group member. Everything runs on the event loop that called `start`."""

    def __init__(self, settings: MemberSettings) -> None:
        self.settings = settings
        self.me = MemberId(settings.instance)
        self.journal = Journal()
        self.locks = NamedLocks()
        self.store = RowStore()
        self.sessions: dict[int, DatabaseSession] = {}
        self.reachable = asyncio.Event()
        self.reachable.set()
        self.peers = PeerLinks(self.me, self._deliver, self._discover)
        self.peer_address = settings.peer_listen
        self.server = MysqlServer(
            lambda: DatabaseSession(self), settings.listen.host, settings.listen.port
        )
        self._log = LogFile(settings.log)
        self._replica: Replica | None = None
        self._tokens = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[Any]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._outcome: tuple[Position, Outcome] = (Position(0, 0), Outcome())
        self._paused_until = 0.0
        self._deferred: list[Any] = []

    async def start(self) -> None:
        """Replay the log file and start listening. Raises OSError."""
        loop = asyncio.get_running_loop()
        self._replica = Replica(self.me, loop.time(), self._log.promised, self._log.entries)
        listen = self.settings.peer_listen
        self.peer_address = await self.peers.start(listen.host, listen.port)
        await self.server.start()

    async def stop(self) -> None:
        """Close every connection, stream and file."""
        if self._timer is not None:
            self._timer.cancel()
        self.reachable.set()
        await self.server.stop()
        await self.peers.stop()
        for future in self._waiting.values():
            future.cancel()
        self._log.close()
        self.store.close()

    @property
    def address(self) -> Address:
        """The address of the MySQL listener."""
        return self.server.address

    @property
    def replica(self) -> Replica:
        """The replicated log's state machine. Raises RuntimeError before `start`."""
        if self._replica is None:
            raise RuntimeError("member is not started")
        return self._replica

    def status(self) -> ReplicaStatus:
        """Return the member's current status."""
        return self.replica.status(asyncio.get_running_loop().time())

    # Requests of sessions

    async def write(self, batch: Batch) -> tuple[Position, Outcome]:
        """Replicate and apply a batch; return its position and outcome.

        Raises CallerError 3101 (not run) and 3102 (may have run). A cancelled write may still run.
        """
        answer = await self.request(lambda token: Propose(token, batch))
        position, outcome = answer
        return position, outcome

    async def request(self, event: Callable[[int], Any]) -> Any:
        """Pass the replica an event with a new token; return its answer. Raises CallerError."""
        token = next(self._tokens)
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._waiting[token] = future
        try:
            self.submit(event(token))
            return await future
        finally:
            self._waiting.pop(token, None)

    def submit(self, event: Any) -> None:
        """Pass the replica an event, after the pause if the member is paused."""
        now = asyncio.get_running_loop().time()
        if now < self._paused_until:
            self._deferred.append(event)
            return
        for effect in self.replica.handle(event, now):
            self._carry_out(effect)
        self._set_timer(now)

    def pause(self, seconds: float) -> None:
        """Process no events for `seconds`, like a stopped process."""
        loop = asyncio.get_running_loop()
        self._paused_until = loop.time() + seconds
        self.reachable.clear()
        loop.call_later(seconds, self._resume)

    def _resume(self) -> None:
        self._paused_until = 0.0
        self.reachable.set()
        deferred, self._deferred = self._deferred, []
        for event in (*deferred, Wakeup()):
            self.submit(event)

    # Effects

    def _carry_out(self, effect: Any) -> None:
        match effect:
            case Send(to, message):
                self.peers.send(to, message)
            case PersistPromise() | PersistEntries():
                self._log.write(effect)
            case Apply(position, payload):
                self._apply(position, payload)
            case Acknowledged(token, position):
                self.journal.record_acknowledged(position)
                self._answer(token, self._outcome)
            case Confirmed(token, position):
                self._answer(token, position)
            case TermAccepted(token):
                self._answer(token, None)
            case Refused(token, code, detail):
                self._fail(token, CallerError(int(code), "HY000", detail))

    def _apply(self, position: Position, payload: Any) -> None:
        outcome = Outcome()
        if payload is not None:
            batch = batch_of(payload)
            outcome = self.store.apply(batch, seed=position.offset)
            self.journal.record_applied(position, batch, outcome.error is not None)
        self._outcome = (position, outcome)

    def _answer(self, token: int, answer: Any) -> None:
        future = self._waiting.get(token)
        if future is not None and not future.done():
            future.set_result(answer)

    def _fail(self, token: int, error: CallerError) -> None:
        future = self._waiting.get(token)
        if future is not None and not future.done():
            future.set_exception(error)

    def _set_timer(self, now: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        wakeup_at = self.replica.next_wakeup()
        if wakeup_at is not None:
            delay = max(0.0, wakeup_at - now)
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay, self.submit, Wakeup())

    # Peers

    def _deliver(self, sender: MemberId, message: Any) -> None:
        self.submit(Received(sender, message))

    async def _discover(self, address: Address) -> Address:
        """Query a member at its MySQL address for its peer address. Raises OSError."""
        try:
            connection = await BackendConnection.connect(
                address, REPLICATION_USER, "", str(self.me), DISCOVERY_TIMEOUT_SECONDS
            )
            result = await connection.execute("SHOW BRAMBLEBEAM PEER")
            await connection.close()
        except BackendError as error:
            raise OSError(str(error)) from error
        host, port = result.rows[0]
        return Address(str(host), int(port))
