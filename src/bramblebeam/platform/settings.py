"""Settings of a node, from the file that the platform writes for its process."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from bramblebeam.core.identity import Address, NodeId, ZoneId
from bramblebeam.core.membership.messages import Seed
from bramblebeam.core.overload.settings import SWITCHED_OFF, OverloadSettings
from bramblebeam.platform.fields import MAX_DURATION_MS, MAX_PORT, FieldError, decimal, integer

SETTINGS_VARIABLE = "BRAMBLEBEAM_NODE_FILE"
DEFAULT_PATH = "/etc/bramblebeam/node.json"
_METRICS_PORT_INDEX = 0
_PEER_PORT_INDEX = 1
_POOL_POLICY = "pool"
"""Policy of platforms whose databases reject load beyond their capacity."""


class SettingsError(ValueError):
    """The settings file is missing or invalid; the text names the wrong key."""


class PlatformNodeSettings(NamedTuple):
    """A node's settings. Times are in seconds; unknown keys are ignored.

    `peer`: address at which the node listens for other nodes. `seeds`: peer addresses of others.
    """

    node: NodeId
    zone: ZoneId
    region: str
    callers: Address
    readiness: Address
    metrics: Address | None
    peer: Address
    seeds: tuple[Seed, ...]
    store: Address | None
    promotions: Address | None
    fence_checked: bool
    grace_period: float
    drain: float
    config_apply_bound: float
    overload: OverloadSettings = SWITCHED_OFF


def load_settings() -> PlatformNodeSettings:
    """Read the settings file that the environment names. Raises SettingsError."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH))
    try:
        content = json.loads(path.read_text())
    except (OSError, ValueError, RecursionError) as error:
        raise SettingsError(f"{path}: {error}") from error
    if not isinstance(content, dict):
        raise SettingsError(f"{path}: expected a JSON object")
    return parse_settings(content)


def parse_settings(content: Mapping[str, Any]) -> PlatformNodeSettings:
    """Return the settings from a file's content. Raises SettingsError."""
    bounds = _object(content, "bounds")
    listen = _object(content, "bind_addrs")
    return PlatformNodeSettings(
        node=NodeId(_text(content, "node_name")),
        zone=ZoneId(_text(content, "zone")),
        region=_text(content, "region"),
        callers=_address(listen, "front"),
        readiness=_address(listen, "ready_addr"),
        metrics=_metrics_address(content),
        peer=_peer_address(content),
        seeds=_seeds(content),
        store=_service_address(content, "platform"),
        promotions=_service_address(content, "cloud_api"),
        fence_checked=bool(bounds.get("fence_required", True)),
        grace_period=_number(bounds, "grace_period_s", 6.0),
        drain=_number(bounds, "drain_ms", 7_000) / 1_000,
        config_apply_bound=_number(bounds, "config_apply_ms", 4_000) / 1_000,
        overload=OverloadSettings(enabled=_POOL_POLICY in _policies(content)),
    )


def _policies(content: Mapping[str, Any]) -> list[str]:
    listed = content.get("policies")
    return [text for text in listed if isinstance(text, str)] if isinstance(listed, list) else []


def _object(content: Mapping[str, Any], key: str) -> Mapping[str, Any]:
    value = content.get(key)
    if not isinstance(value, dict):
        raise SettingsError(f"{key}: expected an object")
    return value


def _text(content: Mapping[str, Any], key: str) -> str:
    value = content.get(key)
    if not isinstance(value, str) or not value:
        raise SettingsError(f"{key}: expected a non-empty string")
    return value


def _number(content: Mapping[str, Any], key: str, default: float) -> float:
    value = content.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise SettingsError(f"{key}: expected a number")
    # NaN fails the comparison, too; an integer may be too large for a float.
    if not 0 <= value <= MAX_DURATION_MS:
        raise SettingsError(f"{key}: expected a number from 0 to {MAX_DURATION_MS}")
    return float(value)


def _address(content: Mapping[str, Any], key: str) -> Address:
    host, _, port = _text(content, key).rpartition(":")
    try:
        return Address(host, integer(decimal(port, key), key, 0, MAX_PORT))
    except FieldError as error:
        raise SettingsError(f"{key}: expected HOST:PORT") from error


def _service_address(content: Mapping[str, Any], key: str) -> Address | None:
    value = content.get(key)
    if not isinstance(value, dict) or not value.get("address"):
        return None
    return _address(value, "address")


def _peer_address(content: Mapping[str, Any]) -> Address:
    """Return the address for other nodes, at the second of the ports for the nodes' own use."""
    host = content.get("ip_address") or _address(_object(content, "bind_addrs"), "front").host
    return Address(str(host), _node_port(content, _PEER_PORT_INDEX))


def _seeds(content: Mapping[str, Any]) -> tuple[Seed, ...]:
    """Return the seeds. Only hosts are read: peer ports are the same on all machines of a day."""
    port = _node_port(content, _PEER_PORT_INDEX)
    listed = content.get("seed_nodes")
    texts = [text for text in listed if isinstance(text, str)] if isinstance(listed, list) else []
    hosts = [text.rpartition(":")[0] for text in texts]
    return tuple(Seed(NodeId(host), Address(host, port)) for host in hosts if host)


def _node_port(content: Mapping[str, Any], index: int) -> int:
    """Return a port of the range for the nodes' own use; 0 (any free port) without a range."""
    ports = content.get("inner_ports")
    if not isinstance(ports, list) or not ports or type(ports[0]) is not int:
        return 0
    try:
        return integer(ports[0] + index, "inner_ports", 0, MAX_PORT)
    except FieldError as error:
        raise SettingsError(f"{error}") from error


def _metrics_address(content: Mapping[str, Any]) -> Address | None:
    """Return the address of the metrics, at the first of the ports for the nodes' own use."""
    port = _node_port(content, _METRICS_PORT_INDEX)
    return Address(_text(content, "ip_address"), port) if port else None
