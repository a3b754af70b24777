"""The tenants of the store's configuration as the product's.

What is wrong is told by the object's place and field; neither a key nor any other value is shown.
"""

from __future__ import annotations

import math
from typing import Any

from bramblebeam.core.tenants import RateLimit, Tenant, TenantId, TenantTable, digest_of


class TenantFormatError(ValueError):
    """A tenant that can't be taken; the text tells its place and the field."""


def parse_tenants(listed: Any) -> TenantTable | None:
    """Return the tenants of a configuration, None where it knows none. Raises ValueError.

    An empty list is a list: then nobody holds a key.
    """
    if listed is None:
        return None
    if not isinstance(listed, list):
        raise TenantFormatError("tenants: a list is needed")
    return TenantTable(_parse(f"tenants[{at}]", content) for at, content in enumerate(listed))


def _parse(place: str, content: Any) -> Tenant:
    if not isinstance(content, dict):
        raise TenantFormatError(f"{place}: an object is needed")
    name = content.get("name")
    if not isinstance(name, str) or name.split() != [name]:
        # It stands in a line between blanks.
        raise TenantFormatError(f"{place}.name: a text without blanks is needed")
    keys = content.get("api_keys")
    if not isinstance(keys, list) or not all(isinstance(key, str) and key for key in keys):
        raise TenantFormatError(f"{place}.api_keys: a list of texts is needed")
    digests = tuple(digest_of(key) for key in keys)
    if len(set(digests)) < len(digests):
        raise TenantFormatError(f"{place}.api_keys: a key stands twice")
    return Tenant(TenantId(name), digests, _parse_limit(place, content))


def _parse_limit(place: str, content: Any) -> RateLimit | None:
    """Return the limit; a tenant that tells neither of its two figures has none."""
    if content.get("rate_per_s") is None and content.get("burst_size") is None:
        return None
    rate = _number(place, content, "rate_per_s")
    return RateLimit(rate, _number(place, content, "burst_size"))


def _number(place: str, content: Any, field: str) -> float:
    value = content.get(field)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not math.isfinite(value) or value < 0:
        raise TenantFormatError(f"{place}.{field}: a finite number from 0 on is needed")
    return float(value)
