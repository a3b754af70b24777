"""Runs a member as a process: `python -m bramblebeam.lab.database --instance … --listen …`."""

import asyncio
import json
import signal
from pathlib import Path
from typing import Annotated

import typer
import uvloop

from bramblebeam.core.identity import Address, InstanceId
from bramblebeam.lab.database.control import ControlServer
from bramblebeam.lab.database.member import DatabaseMember, MemberSettings


def main(
    instance: Annotated[str, typer.Option(help="The member's name.")],
    listen: Annotated[str, typer.Option(help="MySQL HOST:PORT; port 0 picks a free port.")],
    peer_listen: Annotated[str, typer.Option(help="HOST:PORT that the other members connect to.")],
    control: Annotated[str, typer.Option(help="HOST:PORT of the HTTP control interface.")],
    log: Annotated[
        Path | None, typer.Option(help="File that stores the log and the promised term.")
    ] = None,
    max_user_connections: Annotated[
        list[str] | None, typer.Option(help="USER=NUMBER; may be given several times.")
    ] = None,
) -> None:
    """Serve until SIGTERM or SIGINT. The first output line is JSON with the bound addresses."""
    settings = MemberSettings(
        instance=InstanceId(instance),
        listen=_address(listen),
        peer_listen=_address(peer_listen),
        log=log,
        maximum_connections=dict(_limit(text) for text in max_user_connections or ()),
    )
    uvloop.run(_serve(settings, _address(control)))


async def _serve(settings: MemberSettings, control_listen: Address) -> None:
    member = DatabaseMember(settings)
    control = ControlServer(member, control_listen)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await member.start()
    await control.start()
    ready = {"listen": member.address, "peer": member.peer_address, "control": control.address}
    print(json.dumps({"instance": settings.instance, **ready}), flush=True)
    await stopped.wait()
    await control.stop()
    await member.stop()


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise typer.BadParameter(f"{text}: expected HOST:PORT")
    return Address(host, int(port))


def _limit(text: str) -> tuple[str, int]:
    user, _, number = text.partition("=")
    if not user or not number.isdigit():
        raise typer.BadParameter(f"{text}: expected USER=NUMBER")
    return user, int(number)


if __name__ == "__main__":
    typer.run(main)
