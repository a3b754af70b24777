"""Launcher that runs the unmodified program with its outgoing TCP connections sent through proxies.

Run with `python3 -S`. The environment variable SOAK_DETOURS names a JSON file that maps HOST:PORT
to the HOST:PORT of a proxy. Datagrams are not redirected. The process is killed when the soak that
started it ends, however that happens.
"""

import ctypes
import json
import os
import runpy
import signal
import sys
from pathlib import Path
from typing import Any

PROGRAM = Path(__file__).parent.parent.parent / "src" / "platform_node.py"
DETOURS_VARIABLE = "SOAK_DETOURS"
PR_SET_PDEATHSIG = 1
"""Option of prctl(2): the signal that a process receives when its parent dies."""


def _die_with_parent() -> None:
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def _install_detours(table: dict[str, str]) -> None:
    import uvloop

    class DetouredLoop(uvloop.Loop):
        """Event loop that connects to an address's proxy in place of the address."""

        async def create_connection(
            self, factory: Any, host: Any = None, port: Any = None, **options: Any
        ) -> Any:
            proxy = table.get(f"{host}:{port}")
            if proxy is not None:
                host, _, port = proxy.rpartition(":")
            return await super().create_connection(factory, host, port, **options)

    uvloop.Loop = DetouredLoop


def main() -> None:
    """Run the node program with redirected connections."""
    _die_with_parent()
    _install_detours(json.loads(Path(os.environ[DETOURS_VARIABLE]).read_text()))
    sys.path.insert(0, str(PROGRAM.parent))
    runpy.run_path(str(PROGRAM), run_name="__main__")


if __name__ == "__main__":
    main()
