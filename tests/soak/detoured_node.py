"""Starts the deployed program as it is, but with its dials led through the soak's proxies.

The routing of a network does the same for real machines. Run with `python3 -S`; SOAK_DETOURS names
a file with a table from HOST:PORT to HOST:PORT. Datagrams go straight. The process ends when the
soak that started it does, however that ends.
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
"""From the system's prctl.h: the signal that a process gets when its parent ends."""


def _end_with_parent() -> None:
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def _detour(table: dict[str, str]) -> None:
    import uvloop

    class DetouredLoop(uvloop.Loop):
        """Dials the proxy that stands before an address."""

        async def create_connection(
            self, factory: Any, host: Any = None, port: Any = None, **options: Any
        ) -> Any:
            way = table.get(f"{host}:{port}")
            if way is not None:
                host, _, port = way.rpartition(":")
            return await super().create_connection(factory, host, port, **options)

    uvloop.Loop = DetouredLoop


def main() -> None:
    """Run the program."""
    _end_with_parent()
    _detour(json.loads(Path(os.environ[DETOURS_VARIABLE]).read_text()))
    sys.path.insert(0, str(PROGRAM.parent))
    runpy.run_path(str(PROGRAM), run_name="__main__")


if __name__ == "__main__":
    main()
