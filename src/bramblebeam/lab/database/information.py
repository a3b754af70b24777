"""Server information for sessions: system variables, SLEEP and GET_LOCK, the process list."""

import asyncio
import re
import time
from collections.abc import Iterable
from typing import TYPE_CHECKING

from bramblebeam.edges.mysql.handshake import SERVER_VERSION
from bramblebeam.edges.mysql.server import CallerError
from bramblebeam.lab.database.locks import NamedLocks
from bramblebeam.lab.database.store import Rows

if TYPE_CHECKING:
    from bramblebeam.lab.database.session import DatabaseSession

FOREVER_SECONDS = 31_536_000.0
UNKNOWN_VARIABLE = 1193
PROCESS_COLUMNS = ("Id", "User", "Host", "db", "Command", "Time", "State", "Info")

_VARIABLE = re.compile(r"@@(?:session\.|global\.|local\.)?(\w+)", re.I)
_SLEEP = re.compile(r"\bSLEEP\s*\(\s*([\d.]+)\s*\)", re.I)
_GET_LOCK = re.compile(r"\bGET_LOCK\s*\(\s*'((?:[^'\\]|'')*)'\s*,\s*(-?[\d.]+)\s*\)", re.I)
_VARIABLES = {
    "version": f"'{SERVER_VERSION}'",
    "version_comment": "'stand-in'",
    "max_allowed_packet": "16777216",
    "tx_isolation": "'READ-COMMITTED'",
    "transaction_isolation": "'READ-COMMITTED'",
}


def substitute_variables(sql: str, autocommit: bool) -> str:
    """Replace system variables in a statement by their values. Raises CallerError 1193."""

    def value(match: re.Match[str]) -> str:
        name = match.group(1).lower()
        literal = str(int(autocommit)) if name == "autocommit" else _VARIABLES.get(name)
        if literal is None:
            raise CallerError(UNKNOWN_VARIABLE, "HY000", f"Unknown system variable '{name}'")
        return f"{literal} AS `{match.group()}`"

    return _VARIABLE.sub(value, sql)


async def wait_for_sleep_and_locks(sql: str, locks: NamedLocks, connection: int) -> None:
    """Wait for the SLEEP and GET_LOCK calls in a statement before it runs.

    SQLite's functions are synchronous, so they can't wait: SLEEP returns at once, and GET_LOCK only
    tries to take the lock.
    """
    for match in _SLEEP.finditer(sql):
        await asyncio.sleep(float(match.group(1)))
    for match in _GET_LOCK.finditer(sql):
        timeout = float(match.group(2))
        if timeout < 0:
            timeout = FOREVER_SECONDS
        if timeout:
            await locks.wait_free(match.group(1), connection, timeout)


def process_list(sessions: Iterable["DatabaseSession"]) -> Rows:
    """Return the process list. `Info` is the client's `program_name`, or else its statement."""
    now = time.monotonic()
    rows = [
        (
            session.info.id,
            session.info.user,
            session.info.remote,
            session.database or None,
            "Query" if session.running else "Sleep",
            int(now - session.since),
            "executing" if session.running else "",
            session.program or session.running or None,
        )
        for session in sessions
    ]
    return Rows(PROCESS_COLUMNS, rows)
