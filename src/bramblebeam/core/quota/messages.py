"""Messages about limits of tenants: counts of operations, and grants of parts of limits."""

from functools import lru_cache
from typing import NamedTuple

from bramblebeam.core.identity import NodeId
from bramblebeam.core.ownership.rendezvous import owner_of, tenant_key
from bramblebeam.core.tenants import RateLimit, TenantId

NO_RECEIPT = 0
NO_GRANT = 0
_CACHED_TENANTS = 20_000


class AdmissionRequest(NamedTuple):
    """Asks the node that counts a tenant whether one operation may begin. `Admission` answers.

    `limit`: the tenant's, by the configuration of this `version` that is in force at the asker.
    """

    tenant: TenantId
    limit: RateLimit | None = None
    version: int = 0


class Admission(NamedTuple):
    """Whether an operation may begin.

    `wait`: seconds until the next one may where it may not; None: it never may, as the limit is
    zero. `receipt`: by which the count may be given back. `share`: the part of the limit that the
    node counts by, 0: it does not count the tenant, and another node is to be asked.
    """

    admitted: bool
    wait: float | None = 0.0
    receipt: int = NO_RECEIPT
    share: float = 1.0


ADMITTED = Admission(True)
NOT_COUNTED_HERE = Admission(False, share=0.0)


class AdmissionReturned(NamedTuple):
    """An operation that was admitted has surely not run: it does not count."""

    tenant: TenantId
    receipt: int = NO_RECEIPT


class GrantRequest(NamedTuple):
    """Asks a grantor for its part of all limits. `Grant` answers.

    `number`: of the question. `held`: the number of the grant of this grantor that the asker counts
    by, NO_GRANT for none: it counts by no earlier one any more.
    """

    number: int
    held: int = NO_GRANT


class BlockingGrant(NamedTuple):
    """An earlier grant that may still be counted by, for some `seconds`.

    Tenants whose counting node among `counting` is `holder` are not lent to anybody else.
    """

    holder: NodeId
    counting: tuple[NodeId, ...]
    seconds: float


class Grant(NamedTuple):
    """Lends the grantor's part of limits, for GRANT_SECONDS from when it was asked for.

    `answers`: the number of the question. `counting`: the nodes that tenants are divided among; the
    grant is for those whose counting node is the receiver, less those that are barred. `part`: how
    much of the grantor's part is lent (0 to 1); 0: none. `parts`: into how many limits are divided,
    as far as the grantor knows.
    """

    answers: int
    number: int = NO_GRANT
    counting: tuple[NodeId, ...] = ()
    part: float = 0.0
    parts: int = 0
    blocking: tuple[BlockingGrant, ...] = ()


class GrantReturned(NamedTuple):
    """The sender does not count by the receiver's grant of this `number`, or an earlier one."""

    number: int


@lru_cache(maxsize=_CACHED_TENANTS)
def counting_node(tenant: TenantId, nodes: tuple[NodeId, ...]) -> NodeId | None:
    """Return which of some nodes counts a tenant, the same at every node; None without nodes."""
    return owner_of(tenant_key(tenant), nodes)
