"""Ports for processes that must keep their address over a restart."""

import socket
from random import SystemRandom

FIRST_PORT = 20_000
LAST_PORT = 32_000
"""Below the range that the system gives to outgoing connections."""

_random = SystemRandom()
_given: set[int] = set()


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that is free for TCP and UDP now and was not given out before."""
    while True:
        port = _random.randrange(FIRST_PORT, LAST_PORT)
        if port not in _given and _is_free(host, port):
            _given.add(port)
            return port


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True
