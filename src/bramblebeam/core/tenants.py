"""Tenants: who may use the databases, by which keys, and how much.

A key is known by its digest only: it can't be told by a log, by a metric or by another node.
"""

import hashlib
from collections.abc import Iterable
from typing import NamedTuple, NewType

TenantId = NewType("TenantId", str)
"""Name of one tenant, as databases and operators know it."""

KeyDigest = NewType("KeyDigest", str)
"""What a key is known by inside: a one-way digest of it."""

NO_TENANT = TenantId("gateway")
"""Whose connections are where the configuration knows no tenants, or a route is open to anybody."""

_DIGEST_BYTES = 16
_SHOWN_DIGITS = 8


def digest_of(key: str) -> KeyDigest:
    """Return the digest of a key. Keys are long and random, so that no salt is needed."""
    return KeyDigest(hashlib.blake2b(key.encode(), digest_size=_DIGEST_BYTES).hexdigest())


def short_digest(key: KeyDigest) -> str:
    """Return enough of a digest to tell sessions apart in a log."""
    return key[:_SHOWN_DIGITS]


class RateLimit(NamedTuple):
    """How many operations a tenant may begin, over all nodes together.

    `rate`: operations a second. `burst`: operations that may begin at once after a rest.
    """

    rate: float
    burst: float


class Tenant(NamedTuple):
    """One tenant. Without keys nobody is let in for it. `limit` None: it has none."""

    name: TenantId
    keys: tuple[KeyDigest, ...]
    limit: RateLimit | None = None


class TenantTable:
    """Every tenant of a configuration, found by name or by the digest of a key.

    Raises ValueError where a name or a key stands twice; the text never holds the key.
    """

    def __init__(self, tenants: Iterable[Tenant] = ()) -> None:
        self.by_name: dict[TenantId, Tenant] = {}
        self._by_key: dict[KeyDigest, Tenant] = {}
        self.has_limits = False
        for tenant in tenants:
            self._add(tenant)

    def _add(self, tenant: Tenant) -> None:
        if tenant.name in self.by_name:
            raise ValueError(f"tenant {tenant.name}: the name stands twice")
        self.by_name[tenant.name] = tenant
        self.has_limits = self.has_limits or tenant.limit is not None
        for key in tenant.keys:
            other = self._by_key.setdefault(key, tenant)
            if other is not tenant:
                raise ValueError(f"tenant {tenant.name}: it shares a key with {other.name}")

    def __eq__(self, other: object) -> bool:
        return isinstance(other, TenantTable) and self.by_name == other.by_name

    __hash__ = None  # type: ignore[assignment]

    def holder(self, key: KeyDigest) -> Tenant | None:
        """Return the tenant that holds a key, or None."""
        return self._by_key.get(key)

    def may_have_limit(self, tenant: TenantId) -> bool:
        """Whether a tenant has a limit, or is not known here: other tables may have one for it."""
        found = self.by_name.get(tenant)
        return tenant != NO_TENANT if found is None else found.limit is not None

    def limit(self, tenant: TenantId) -> RateLimit | None:
        """Return a tenant's limit; None: it has none, or there is no such tenant."""
        found = self.by_name.get(tenant)
        return None if found is None else found.limit
