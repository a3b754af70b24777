"""Who asks: tokens, roles and teams.

A row belongs to the team whose name is the row's name or its beginning up to a `-` or a `.`.
Without any token in the settings the API is open to the loopback interface only.
"""

import hashlib
import hmac
import ipaddress
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum

from bramblebeam.edges.admin.errors import refuse
from bramblebeam.settings.model import AdminTokenSettings

EVERY_TEAM = "*"


class Role(IntEnum):
    """What an operator may do; each includes the ones before it."""

    READ = 1
    EDIT = 2
    """Edit the rows of the own team."""
    OPERATE = 3
    """Change primaries, and drain back ends and nodes."""


@dataclass(frozen=True, slots=True)
class Operator:
    """The holder of a token. `name` tells tokens apart in the audit log without naming them."""

    name: str
    role: Role
    team: str

    def owns(self, row_name: str) -> bool:
        """Whether a row of this name belongs to the operator's team."""
        if self.team in (EVERY_TEAM, row_name):
            return True
        return row_name.startswith((f"{self.team}-", f"{self.team}."))

    def require(self, role: Role) -> None:
        """Raise ApiError 403 unless the operator has the role."""
        if self.role < role:
            raise refuse(403, "role", f"this needs the role {role.name.lower()}")

    def require_row(self, row_name: str) -> None:
        """Raise ApiError 403 unless the row is the operator's team's."""
        if not self.owns(row_name):
            raise refuse(403, "team", f"row {row_name!r} is not team {self.team!r}'s")


LOCAL_OPERATOR = Operator("local", Role.OPERATE, EVERY_TEAM)


class Authenticator:
    """Finds the operator of a request by its bearer token, in constant time a token."""

    def __init__(self, tokens: Sequence[AdminTokenSettings], host: str) -> None:
        self._known = [(_digest(token.token), _operator(token)) for token in tokens]
        self._open = not tokens and _is_loopback(host)

    def operator(self, header: str) -> Operator:
        """Return the operator of an `Authorization` header. Raises ApiError 401."""
        if self._open:
            return LOCAL_OPERATOR
        scheme, _, token = header.partition(" ")
        given = _digest(token.strip()) if scheme.lower() == "bearer" else b""
        found = None
        for digest, operator in self._known:
            if hmac.compare_digest(digest, given):
                found = operator
        if found is None:
            raise refuse(401, "token", "a known bearer token is required")
        return found


def _operator(token: AdminTokenSettings) -> Operator:
    name = f"{token.team}/{token.role}/{_digest(token.token).hex()[:8]}"
    return Operator(name, Role[token.role.upper()], token.team)


def _digest(token: str) -> bytes:
    return hashlib.sha256(token.encode()).digest()


def _is_loopback(host: str) -> bool:
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False
