"""Allocates ports for processes that must keep their address across restarts.

Each run reserves whole blocks of ports by locking a file per block, so that concurrent runs on one
machine never get the same port.
"""

import fcntl
import socket
import tempfile
from collections.abc import Iterator
from io import TextIOWrapper
from pathlib import Path
from random import SystemRandom

FIRST_PORT = 20_000
LAST_PORT = 32_000
"""Below the system's ephemeral port range for outgoing connections."""

BLOCK_SIZE = 50


class NoPortError(Exception):
    """All blocks of ports are used up, by this run or others."""


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that is currently free for TCP and UDP and was not returned before.

    Raises NoPortError.
    """
    for port in _ports:
        if _is_free(host, port):
            return port
    raise NoPortError(f"no free block of {BLOCK_SIZE} ports between {FIRST_PORT} and {LAST_PORT}")


def _reserved_ports() -> Iterator[int]:
    """Yield ports from randomly chosen blocks; each stays locked until this process ends."""
    blocks = list(range(FIRST_PORT, LAST_PORT, BLOCK_SIZE))
    SystemRandom().shuffle(blocks)
    for first in blocks:
        if _lock_block(first):
            yield from range(first, first + BLOCK_SIZE)


def _lock_block(first: int) -> bool:
    path = Path(tempfile.gettempdir()) / f"bramblebeam-ports-{first}.lock"
    try:
        file = path.open("w")
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        return False
    _locks.append(file)
    return True


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


_locks: list[TextIOWrapper] = []
_ports = _reserved_ports()
