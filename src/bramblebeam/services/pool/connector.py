"""Opens slot connections, and makes sure that their epoch owns the instance."""

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
"""The back end's codes for too many connections in all, of the user, or by its own limit."""
FULL_PAUSE = 0.05
RETRY_MS = 50

Opened = Result[BackendConnection, Refusal]


class SlotConnector:
    """Opens the slot connections of one ownership epoch.

    `lost` is called when the back end says that the epoch owns the instance no more.
    """

    def __init__(
        self,
        spec: InstanceSpec,
        node: NodeId,
        settings: BackendSettings,
        control: ControlConnection,
        lost: Callable[[], None],
    ) -> None:
        self._spec = spec
        self._node = node
        self._settings = settings
        self._control = control
        self._lost = lost
        self._loop = asyncio.get_running_loop()

    async def open(self, wait_until: float) -> Opened:
        """Open a connection; a back end that is full is asked again until `wait_until`.

        The ownership is asked for before, as a connection too many counts at the back end also
        while nothing uses it, and again on the connection itself.
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
                await asyncio.sleep(FULL_PAUSE)
        return await self._checked(connection)

    async def still_owner(self) -> bool:
        """Ask on the control connection: after a pause it tells at once that it was ended."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                owner = await self._control.still_owner()
        except (BackendError, TimeoutError, OSError):
            owner = False
        if not owner:
            self._lost()
        return owner

    async def _checked(self, connection: BackendConnection) -> Opened:
        """Hand the connection on if it may be used; a new owner may have ended it just now."""
        try:
            vouched_for = await self._control.vouches_for(connection)
        except BackendError as error:
            connection.abort()
            if not await self.still_owner():
                return Error(self._not_owner())
            return Error(not_run(Reason.UNREACHABLE, str(error), RETRY_MS))
        if vouched_for:
            return Ok(connection)
        connection.abort()
        self._lost()
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
        detail = f"this node does not own {self._spec.instance} any more"
        return not_run(Reason.NOT_OWNER, detail, RETRY_MS)
