"""Parses the tenants of the store's configuration.

Error texts name the path and the field of an invalid value, but never show a value: it may be a
key.
"""

from __future__ import annotations

from typing import Any

from bramblebeam.core.tenants import RateLimit, Tenant, TenantId, TenantTable, digest_of
from bramblebeam.platform.fields import MAX_TEXT_CHARS

MAX_RATE = 1_000_000_000_000
"""Highest rate (operations a second) and burst of a tenant."""


class TenantFormatError(ValueError):
    """A tenant's entry is invalid; the text names its path and the field."""


def parse_tenants(listed: Any) -> TenantTable | None:
    """Return the tenants of a configuration, None if it lists none. Raises ValueError.

    An empty list counts as a list: then no key is valid.
    """
    if listed is None:
        return None
    if not isinstance(listed, list):
        raise TenantFormatError("tenants: expected a list")
    return TenantTable(
        _parse_tenant(f"tenants[{index}]", content) for index, content in enumerate(listed)
    )


def _parse_tenant(path: str, content: Any) -> Tenant:
    if not isinstance(content, dict):
        raise TenantFormatError(f"{path}: expected an object")
    name = content.get("name")
    if not isinstance(name, str) or name.split() != [name] or len(name) > MAX_TEXT_CHARS:
        # The name is sent as one word of a protocol line.
        raise TenantFormatError(f"{path}.name: expected a short string without blanks")
    keys = content.get("api_keys")
    if not isinstance(keys, list) or not all(isinstance(key, str) and key for key in keys):
        raise TenantFormatError(f"{path}.api_keys: expected a list of non-empty strings")
    digests = tuple(digest_of(key) for key in keys)
    if len(set(digests)) < len(digests):
        raise TenantFormatError(f"{path}.api_keys: a key is listed twice")
    return Tenant(TenantId(name), digests, _parse_limit(path, content))


def _parse_limit(path: str, content: Any) -> RateLimit | None:
    """Return the limit, or None if the tenant sets neither of its two fields."""
    if content.get("rate_per_s") is None and content.get("burst_size") is None:
        return None
    rate = _number(path, content, "rate_per_s")
    return RateLimit(rate, _number(path, content, "burst_size"))


def _number(path: str, content: Any, field: str) -> float:
    value = content.get(field)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    # NaN fails the comparison, too; an integer may be too large for a float.
    if not is_number or not 0 <= value <= MAX_RATE:
        raise TenantFormatError(f"{path}.{field}: expected a number from 0 to {MAX_RATE}")
    return float(value)
