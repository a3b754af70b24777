"""Runs an edit against the platform's store."""

import asyncio
from typing import Any

from expression import Result

from bramblebeam.core.configuration.edit import (
    EditFinished,
    EditMachine,
    ReadRow,
    RowAccepted,
    RowConflicted,
    RowRead,
    RowRejected,
    StoreUnanswered,
)
from bramblebeam.core.configuration.messages import EditReply, EditRow, EditStatus
from bramblebeam.core.configuration.validation import parse_spec
from bramblebeam.core.machine import Wakeup
from bramblebeam.edges.object_store.client import PlatformClient
from bramblebeam.edges.object_store.results import (
    Conflict,
    NotFound,
    PlatformError,
    Rejected,
    Unavailable,
    error_text,
)

EDIT_SECONDS = 8.0


async def run_edit(client: PlatformClient | None, edit: EditRow, in_force: int) -> EditReply:
    """Validate and write a row, resolving lost answers; return within `EDIT_SECONDS`."""
    if edit.spec:
        checked = parse_spec(edit.key, edit.spec)
        if checked.is_error():
            return EditReply(EditStatus.INVALID, None, checked.error)
    if client is None:
        return EditReply(EditStatus.UNAVAILABLE, None, "this node has no platform store")
    return await _run_machine(client, edit, in_force)


async def _run_machine(client: PlatformClient, edit: EditRow, in_force: int) -> EditReply:
    loop = asyncio.get_running_loop()
    machine = EditMachine(edit, in_force, loop.time() + EDIT_SECONDS)
    effects = machine.begin()
    while True:
        event: Any = Wakeup()
        for effect in effects:
            if isinstance(effect, EditFinished):
                return effect.reply
            event = await _run_effect(client, effect, machine, loop)
        if not effects:
            await asyncio.sleep(max((machine.next_wakeup() or 0.0) - loop.time(), 0.0))
        effects = machine.handle(event, loop.time())


async def _run_effect(
    client: PlatformClient, effect: Any, machine: EditMachine, loop: asyncio.AbstractEventLoop
) -> Any:
    """Send the effect's request to the store; wait until the edit's deadline at most."""
    deadline = machine.next_wakeup() or 0.0
    try:
        async with asyncio.timeout(max(deadline - loop.time(), 0.0)):
            if isinstance(effect, ReadRow):
                return _read_event(await client.get_row(effect.key))
            return _write_event(await client.write_row(effect.written))
    except TimeoutError:
        return Wakeup()


def _read_event(result: Result[Any, PlatformError]) -> Any:
    match result:
        case Result(tag="ok", ok=found):
            return RowRead(found)
        case Result(error=NotFound()):
            return RowRead(None)
        case Result(error=error):
            return StoreUnanswered(True, error_text(error))


def _write_event(result: Result[Any, PlatformError]) -> Any:
    match result:
        case Result(tag="ok", ok=found):
            return RowAccepted(found.row)
        case Result(error=Conflict() | NotFound()):
            return RowConflicted()
        case Result(error=Rejected(_, detail)):
            return RowRejected(detail)
        case Result(error=Unavailable(sent, detail)):
            return StoreUnanswered(sent, detail)
        case Result(error=error):
            return StoreUnanswered(True, error_text(error))
