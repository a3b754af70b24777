"""Authentication and authorization of operators: tokens, roles and teams.

A row belongs to the team whose name equals the row's name or its prefix before a `-` or a `.`.
If the settings list no token, the API needs none when it listens on the loopback interface, and
refuses every request otherwise.
"""

import hashlib
import hmac
import ipaddress
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum

from bramblebeam.edges.admin.errors import refuse
from bramblebeam.settings.model import AdminTokenSettings

ALL_TEAMS = "*"


class Role(IntEnum):
    """What an operator may do. Each role includes the ones before it."""

    READ = 1
    EDIT = 2
    """Edit the rows of the operator's team."""
    OPERATE = 3
    """Change primaries, and drain back ends and nodes."""


@dataclass(frozen=True, slots=True)
class Operator:
    """The holder of a token. `name` identifies the token in the audit log without revealing it."""

    name: str
    role: Role
    team: str

    def owns(self, row_name: str) -> bool:
        """Whether a row of this name belongs to the operator's team."""
        if self.team in (ALL_TEAMS, row_name):
            return True
        return row_name.startswith((f"{self.team}-", f"{self.team}."))

    def require(self, role: Role) -> None:
        """Raise ApiError 403 unless the operator has the role."""
        if self.role < role:
            raise refuse(403, "role", f"the role {role.name.lower()} is required")

    def require_row(self, row_name: str) -> None:
        """Raise ApiError 403 unless the row belongs to the operator's team."""
        if not self.owns(row_name):
            raise refuse(403, "team", f"row {row_name!r} does not belong to team {self.team!r}")


LOCAL_OPERATOR = Operator("local", Role.OPERATE, ALL_TEAMS)


class Authenticator:
    """Finds the operator of a request by its bearer token.

    All tokens are compared in constant time, so response times reveal nothing about them.
    """

    def __init__(self, tokens: Sequence[AdminTokenSettings], host: str) -> None:
        self._operators = [(_digest(token.token), _operator(token)) for token in tokens]
        self._anonymous_access = not tokens and _is_loopback(host)

    def operator(self, header: str) -> Operator:
        """Return the operator of an `Authorization` header. Raises ApiError 401."""
        if self._anonymous_access:
            return LOCAL_OPERATOR
        scheme, _, token = header.partition(" ")
        token_digest = _digest(token.strip()) if scheme.lower() == "bearer" else b""
        found = None
        for digest, operator in self._operators:
            if hmac.compare_digest(digest, token_digest):
                found = operator
        if found is None:
            raise refuse(401, "token", "a valid bearer token is required")
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
