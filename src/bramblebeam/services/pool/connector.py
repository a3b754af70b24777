"""Opens slot connections and verifies that their epoch owns the instance."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from expression import Error, Ok, Result

from bramblebeam.core.identity import InstanceSpec, NodeId
from bramblebeam.core.pool.admission import not_run
from bramblebeam.core.verdict import Reason, Refusal
from bramblebeam.edges.backend import BackendConnection, BackendError, ConnectError
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import POOL_SLOTS_REFUSED
from bramblebeam.services.pool.control import SLOT_PREFIX, ControlConnection
from bramblebeam.settings.model import BackendSettings

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT = 2.0
FULL_ERRORS = (1040, 1203, 1226)
"""Back-end error codes for too many connections: in total, of the user, or by its own limit."""
FULL_RETRY_INTERVAL = 0.05
"""Pause before connecting again to a back end that is full (seconds)."""
RETRY_MS = 50

Opened = Result[BackendConnection, Refusal]


class SlotConnector:
    """Opens the slot connections of one ownership epoch.

    `on_lost` is called when the back end reports that the epoch no longer owns the instance.
    """

    def __init__(
        self,
        spec: InstanceSpec,
        node: NodeId,
        settings: BackendSettings,
        control: ControlConnection,
        on_lost: Callable[[], None],
    ) -> None:
        self._spec = spec
        self._node = node
        self._settings = settings
        self._control = control
        self._on_lost = on_lost
        self._loop = asyncio.get_running_loop()

    async def open(self, wait_until: float) -> Opened:
        """Open a connection; while the back end is full, retry until `wait_until` (loop time).

        Ownership is checked before connecting, because a surplus connection occupies the back end
        even while unused, and again on the new connection itself.
        """
        while True:
            if not await self.still_owner():
                return Error(self._not_owner())
            try:
                connection = await self._connect()
                break
            except ConnectError as error:
                if error.code not in FULL_ERRORS or self._loop.time() >= wait_until:
                    return Error(not_run(Reason.UNREACHABLE, str(error), RETRY_MS))
                log_event(logger, POOL_SLOTS_REFUSED, instance=self._spec.instance, code=error.code)
                await asyncio.sleep(FULL_RETRY_INTERVAL)
        return await self._verify(connection)

    async def still_owner(self) -> bool:
        """Check ownership on the control connection; if it is lost, call `on_lost`.

        If the connection was ended while this process was paused, the query fails at once.
        """
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                owner = await self._control.still_owner()
        except (BackendError, TimeoutError, OSError):
            owner = False
        if not owner:
            self._on_lost()
        return owner

    async def _verify(self, connection: BackendConnection) -> Opened:
        """Return the connection if it may be used; a new owner may just have ended it."""
        try:
            owned = await self._control.still_owner_on(connection)
        except BackendError as error:
            connection.abort()
            if not await self.still_owner():
                return Error(self._not_owner())
            return Error(not_run(Reason.UNREACHABLE, str(error), RETRY_MS))
        if owned:
            return Ok(connection)
        connection.abort()
        self._on_lost()
        return Error(self._not_owner())

    async def _connect(self) -> BackendConnection:
        return await BackendConnection.connect(
            self._spec.address,
            self._settings.user,
            self._settings.password,
            f"{SLOT_PREFIX}{self._node}/{self._control.epoch}",
            CONNECT_TIMEOUT,
            self._spec.group,
        )

    def _not_owner(self) -> Refusal:
        detail = f"this node no longer owns {self._spec.instance}"
        return not_run(Reason.NOT_OWNER, detail, RETRY_MS)
