"""Runs the stand-in platform as a process: `python -m bramblebeam.lab.platform --listen …`."""

import asyncio
import json
import signal
from pathlib import Path
from typing import Annotated

import typer

from bramblebeam.lab.platform.server import PlatformServer
from bramblebeam.lab.platform.store import ObjectName


def main(
    listen: Annotated[str, typer.Option(help="HOST:PORT; port 0 picks a free port.")],
    rows: Annotated[
        Path | None, typer.Option(help="JSON file with a list of {kind, name, spec} objects.")
    ] = None,
) -> None:
    """Serve until SIGTERM or SIGINT. The first output line is JSON with the bound address."""
    host, _, port = listen.rpartition(":")
    asyncio.run(_serve(host, int(port), rows))


async def _serve(host: str, port: int, rows: Path | None) -> None:
    server = PlatformServer()
    if rows is not None:
        load_rows(server, rows)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    address = await server.start(host, port)
    print(json.dumps({"event": "ready", "listen": list(address)}), flush=True)
    await stopped.wait()
    await server.stop()


def load_rows(server: PlatformServer, path: Path) -> None:
    """Load the rows of a JSON file into the server's store."""
    for row in json.loads(path.read_text()):
        server.store.create(ObjectName(row["kind"], row["name"]), row["spec"], {})


if __name__ == "__main__":
    typer.run(main)
