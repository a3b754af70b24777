"""Runs commands that query nodes' metrics addresses: one node answers, one is absent."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from typer.testing import CliRunner, Result

from bramblebeam.cli.main import application
from bramblebeam.core.identity import Address
from bramblebeam.platform.http import HttpAnswer, HttpServer

ABSENT = "127.0.0.1:1"


class CommandRun(NamedTuple):
    """The address of the node that answered, and the result of the command."""

    node: str
    result: Result


async def run_at_nodes(command: str, body_of: Callable[[str], bytes]) -> CommandRun:
    """Run a command that queries both nodes; `body_of` returns the answer to a path."""

    async def answer(method: str, path: str) -> HttpAnswer:
        return HttpAnswer(200, body_of(path))

    server = HttpServer(Address("127.0.0.1", 0), answer)
    node = f"127.0.0.1:{(await server.start()).port}"
    try:
        arguments = [command, node, ABSENT]
        return CommandRun(node, await asyncio.to_thread(CliRunner().invoke, application, arguments))
    finally:
        server.close()
