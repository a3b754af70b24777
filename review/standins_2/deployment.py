"""A small deployment on loopback: nodes as processes by the deploy file, and their clients."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shlex
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

from databases import Database, Service
from store_stand_in import Platform

ROOT = Path(__file__).resolve().parents[2]
ZONES = {"quito-norte": "sierra", "guayaquil-sur": "costa", "cuenca-centro": "austro"}
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 5000,
    "ack_timeout_ms": 6000,
    "catch_up_s": 4,
    "drain_ms": 7000,
    "grace_period_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 4000,
    "revert_slack_ms": 250,
    "skew_max_ms": 15000,
    "recover_s": 12,
    "fence_required": True,
    "thaw_slack_ms": 300,
}
POLICIES = ["base", "drain", "config", "cost", "recover", "sql", "platform"]
FRONT, READY, CONTROL, INNER, PORTS = 0, 1, 2, 3, 6


class CannotRunError(Exception):
    """The case can't run on this machine."""


@dataclass
class Node:
    """One machine of the system with its process."""

    name: str
    host: str
    port: int
    settings: dict[str, Any]
    folder: Path
    process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]
        known = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment = {
            **known,
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BRAMBLEBEAM_NODE_FILE": str(path),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(role["run"]), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(self.host, self.port + READY)
            writer.write(b"GET /bramblebeam/readiness HTTP/1.1\r\nHost: n\r\n\r\n")
        except OSError:
            return False
        try:
            return b" 200 " in await asyncio.wait_for(reader.readline(), 1.0)
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()


class Answer(NamedTuple):
    """A statement as its client saw it. `code`: of the error, `lost` if none came."""

    sent: float
    answered: float
    identifier: str
    text: str
    rows: tuple[str, ...]
    signature: str
    code: str
    state: str
    values: dict[str, str]


class Client:
    """One session. `answers` holds what it sent and got; `values` what was acknowledged to it."""

    numbers = 0

    def __init__(self, name: str, answers: list[Answer]) -> None:
        self.name = name
        self.answers = answers
        self.values: dict[str, str] = {}
        self.open = False
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def start(self, node: Node, database: str) -> bool:
        self.close()
        try:
            found = await asyncio.open_connection(node.host, node.port + FRONT)
            self._reader, self._writer = found
            self._writer.write(f"START {database} {self.name}\r\n".encode())
            line = await asyncio.wait_for(self._reader.readline(), 2.0)
        except (OSError, TimeoutError):
            return False
        self.open = line.startswith(b"READY")
        self.values = {}
        return self.open

    async def run(self, text: str, seconds: float = 6.0) -> Answer:
        assert self._reader is not None and self._writer is not None
        Client.numbers += 1
        identifier = f"{Client.numbers:012x}"
        sent = time.monotonic()
        rows: list[str] = []
        signature, code, state = "", "lost", ""
        with contextlib.suppress(OSError, TimeoutError):
            self._writer.write(f"QUERY {identifier} {text}\r\n".encode())
            async with asyncio.timeout(seconds):
                while not state:
                    line = (await self._reader.readline()).decode().rstrip("\r\n")
                    word, _, rest = line.partition(" ")
                    if word == "ROW":
                        rows.append(rest)
                    elif word == "DONE":
                        signature, code = rest, ""
                    elif word == "ERR":
                        code = rest.partition(" ")[0]
                    elif word == "READY":
                        state = rest[0]
                    else:
                        break
        if not state:
            code = "lost"
            self.close()
        answer = Answer(
            sent,
            time.monotonic(),
            identifier,
            text,
            tuple(rows),
            signature,
            code,
            state,
            dict(self.values),
        )
        self.answers.append(answer)
        if text.startswith("SET ") and not code:
            _, name, value = text.split(" ", 2)
            self.values[name] = value
        return answer

    def close(self) -> None:
        self.open = False
        if self._writer is not None:
            self._writer.close()


@dataclass
class Deployment:
    """A running deployment."""

    service: Service
    platform: Platform
    folder: Path
    nodes: list[Node] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    version: int = 0

    def configure(self, routes: dict[str, dict[str, Any]], **limits: Any) -> None:
        """Write the next version of the configuration."""
        self.version += 3
        listed = [
            {"name": f"route-{host}", "host": host, "service": self.service.name, **route}
            for host, route in routes.items()
        ]
        services = [
            {"name": self.service.name, "max_conns": self.service.max_conns, "sync_replicas": 0}
        ]
        spec = {"version": self.version, "routes": listed, "services": services}
        self.platform.put("config", "main", {**spec, "limits": {"tx_idle_ms": 3000, **limits}})

    async def wait_ready(self, seconds: float = 20.0) -> None:
        """Wait until every node is ready. Raises CannotRunError."""
        deadline = time.monotonic() + seconds
        while not all(await asyncio.gather(*(node.is_ready() for node in self.nodes))):
            if time.monotonic() > deadline:
                raise CannotRunError("the nodes do not get ready")
            await asyncio.sleep(0.1)


ROUTES = {
    "confirm": {"route_type": "primary", "timeout_ms": 800, "target_ms": 600, "priority": 1},
    "lookup": {
        "route_type": "bounded",
        "max_staleness_ms": 1500,
        "timeout_ms": 2000,
        "target_ms": 1000,
        "priority": 2,
    },
    "reorder": {
        "route_type": "self_managed",
        "max_staleness_ms": 2500,
        "timeout_ms": 800,
        "target_ms": 1000,
        "priority": 2,
    },
}


def _free_port(hosts: list[str]) -> int:
    for port in range(21_000, 31_000, PORTS):
        with contextlib.ExitStack() as stack:
            try:
                for host in hosts:
                    for offset in range(PORTS):
                        probe = stack.enter_context(socket.socket())
                        probe.bind((host, port + offset))
            except OSError:
                continue
        return port
    raise CannotRunError("no free ports")


@contextlib.asynccontextmanager
async def deployment(
    nodes: int,
    bounds: dict[str, Any] | None = None,
    promote_seconds: float = 1.0,
    demotes_at_once: bool = True,
) -> AsyncIterator[Deployment]:
    """Run a service of three databases, the platform and nodes in three zones; end them all."""
    octets = f"127.{60 + os.getpid() % 100}.{os.getpid() // 100 % 250}"
    chosen = {**BOUNDS, **(bounds or {})}
    service = Service("rutas-db", f"{octets}.200", nodes)
    service.demotes_at_once = demotes_at_once
    for number, zone in enumerate(ZONES):
        database = Database(service, f"i-{number}{os.getpid():07x}", zone)
        await database.start()
    next(iter(service.databases.values())).is_primary = True
    platform = Platform(service, f"{octets}.201", promote_seconds, bool(chosen["fence_required"]))
    await platform.start()
    registering = asyncio.ensure_future(platform.keep_registered())
    with tempfile.TemporaryDirectory() as name:
        running = Deployment(service, platform, Path(name))
        running.configure(ROUTES)
        hosts = [f"{octets}.{number + 1}" for number in range(nodes)]
        port = _free_port(hosts)
        for number, host in enumerate(hosts):
            settings = _settings(number, host, port, hosts, platform, chosen)
            running.nodes.append(Node(settings["node_name"], host, port, settings, running.folder))
        try:
            await asyncio.gather(*(node.start() for node in running.nodes))
            await running.wait_ready()
            yield running
        finally:
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for path in running.folder.glob("*.log"):
                    Path(keep, path.name).write_bytes(path.read_bytes())
            await asyncio.gather(*(node.kill() for node in running.nodes))
            registering.cancel()
            await asyncio.sleep(0.1)


def _settings(
    number: int,
    host: str,
    port: int,
    hosts: list[str],
    platform: Platform,
    bounds: dict[str, Any],
) -> dict[str, Any]:
    zone = list(ZONES)[number % len(ZONES)]
    return {
        "node_name": f"edge-{zone}-{number // len(ZONES) + 1}",
        "node_role": "gateway",
        "machine_class": "edge",
        "serves": ["edge", "control"],
        "ip_address": host,
        "zone": zone,
        "region": ZONES[zone],
        "zones": ZONES,
        "bind_addrs": {
            "front": f"{host}:{port + FRONT}",
            "ready_addr": f"{host}:{port + READY}",
            "control": f"{host}:{port + CONTROL}",
        },
        "inner_ports": [port + INNER, port + PORTS - 1],
        "seed_nodes": [f"{seed}:{port + CONTROL}" for seed in hosts[:3]],
        "bootstrap": True,
        "loss_counted": False,
        "limits": {"cpu_share": 0.537, "cpu_cores": 2, "memory_mb": 300, "max_fds": 4300},
        "data_dir": None,
        "discovery_mode": "platform",
        "entry_mode": "vip",
        "heartbeat_ms": 1200,
        "policies": POLICIES,
        "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
        "bounds": bounds,
        "platform": {
            "address": f"{platform.host}:{platform.ports[number]}",
            "form": "objects",
            "writes_per_s": 400,
            "reads_per_s": 2000,
            "history_s": 20,
            "value_bytes": 1048576,
            "ttl_min_ms": 1000,
        },
        "cloud_api": {
            "address": f"{platform.host}:{platform.ports[number]}",
            "rate_per_s": 50.0,
            "duty_set": ["failover"],
            "duty_per_s": 50.0,
        },
    }
