"""The settings of one node. The table of weights and limits is in the store instead."""

from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from bramblebeam.core.identity import Address, NodeId, ZoneId

Port = Annotated[int, Field(ge=0, le=65_535)]


class _Section(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid")


class EndpointSettings(_Section):
    """An address to listen on. Port 0: chosen by the system."""

    host: str = "127.0.0.1"
    port: Port = 0


class TlsSettings(_Section):
    """Certificate chain and key, as PEM files."""

    certificate: Path
    key: Path


class UserSettings(_Section):
    """A caller's account; the user name is the name of its service."""

    name: str
    password: str = ""


class ClientSettings(EndpointSettings):
    """The address, accounts and limits for callers."""

    tls: TlsSettings | None = None
    users: tuple[UserSettings, ...] = ()
    """Empty: every user name is accepted without a password."""
    maximum_connections: int = Field(default=10_000, ge=1)
    maximum_in_flight: int = Field(default=2_000, ge=1)


class BackendSettings(_Section):
    """The accounts that nodes use at back ends.

    `user` runs the callers' statements; set its `max_user_connections` to the instance's slots.
    `control_user` reads the status, holds the ownership lock and terminates connections.
    """

    user: str = "bramblebeam"
    password: str = ""
    control_user: str = "bramblebeam_control"
    control_password: str = ""


class SeedSettings(_Section):
    """A node to join through, with its peer address (UDP and TCP)."""

    node: NodeId
    zone: ZoneId
    address: Address


class PlatformSettings(_Section):
    """The platform's store. Empty `url`: no store, rows come from peers only."""

    url: str = ""
    timeout_ms: int = Field(default=2_000, ge=10)


class AdminTokenSettings(_Section):
    """An operator's token: its role, and the team whose rows it may change (`*`: all)."""

    token: str = Field(min_length=8)
    role: Literal["read", "edit", "operate"]
    team: str = "*"


class AdminSettings(EndpointSettings):
    """The administration API and the metrics endpoint."""

    tls: TlsSettings | None = None
    tokens: tuple[AdminTokenSettings, ...] = ()


class LogSettings(_Section):
    """Level and format of the log."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    format: Literal["text", "json"] = "text"


class NodeSettings(_Section):
    """All settings of one node, read at its start."""

    node: NodeId
    zone: ZoneId
    region: str
    peer: EndpointSettings = EndpointSettings()
    client: ClientSettings = ClientSettings()
    admin: AdminSettings = AdminSettings()
    backend: BackendSettings = BackendSettings()
    platform: PlatformSettings = PlatformSettings()
    seeds: tuple[SeedSettings, ...] = ()
    log: LogSettings = LogSettings()
    drain_seconds: float = Field(default=10.0, ge=0.0)
