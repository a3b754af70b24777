"""Tenants, their API keys and their rate limits.

Only digests of keys are kept, so that keys cannot leak through logs, metrics or other nodes.
"""

import hashlib
from collections.abc import Iterable
from typing import NamedTuple, NewType

TenantId = NewType("TenantId", str)
"""Name of a tenant, as used by databases and operators."""

KeyDigest = NewType("KeyDigest", str)
"""One-way digest that represents an API key."""

NO_TENANT = TenantId("gateway")
"""Tenant of connections where no tenants are configured or the route is public."""

_DIGEST_BYTES = 16
_SHOWN_DIGITS = 8


def digest_of(key: str) -> KeyDigest:
    """Return the digest of a key; unsalted, since keys are long and random."""
    return KeyDigest(hashlib.blake2b(key.encode(), digest_size=_DIGEST_BYTES).hexdigest())


def short_digest(key: KeyDigest) -> str:
    """Return a prefix of a digest, long enough to distinguish sessions in logs."""
    return key[:_SHOWN_DIGITS]


class RateLimit(NamedTuple):
    """A tenant's limit on started operations, summed over all nodes.

    `rate`: operations a second. `burst`: operations that may start at once after an idle period.
    """

    rate: float
    burst: float


class Tenant(NamedTuple):
    """A tenant. Without keys it admits no caller. `limit` None: unlimited."""

    name: TenantId
    keys: tuple[KeyDigest, ...]
    limit: RateLimit | None = None


class TenantTable:
    """The tenants of a configuration, indexed by name and by key digest.

    Raises ValueError for a duplicate name or a key shared by tenants; the message never contains
    the key.
    """

    def __init__(self, tenants: Iterable[Tenant] = ()) -> None:
        self.by_name: dict[TenantId, Tenant] = {}
        self._by_key: dict[KeyDigest, Tenant] = {}
        self.has_limits = False
        for tenant in tenants:
            self._add(tenant)

    def _add(self, tenant: Tenant) -> None:
        if tenant.name in self.by_name:
            raise ValueError(f"tenant {tenant.name}: duplicate name")
        self.by_name[tenant.name] = tenant
        self.has_limits = self.has_limits or tenant.limit is not None
        for key in tenant.keys:
            other = self._by_key.setdefault(key, tenant)
            if other is not tenant:
                raise ValueError(f"tenant {tenant.name}: shares a key with tenant {other.name}")

    def __eq__(self, other: object) -> bool:
        return isinstance(other, TenantTable) and self.by_name == other.by_name

    __hash__ = None  # type: ignore[assignment]

    def holder(self, key: KeyDigest) -> Tenant | None:
        """Return the tenant that holds a key, or None."""
        return self._by_key.get(key)

    def may_have_limit(self, tenant: TenantId) -> bool:
        """Whether a tenant has a limit or is not listed here: another table may limit it."""
        found = self.by_name.get(tenant)
        return tenant != NO_TENANT if found is None else found.limit is not None

    def limit(self, tenant: TenantId) -> RateLimit | None:
        """Return a tenant's limit, or None if it is unlimited or unknown."""
        found = self.by_name.get(tenant)
        return None if found is None else found.limit
