"""Messages about tenant limits: admission of operations, and grants of parts of limits."""

from functools import lru_cache
from typing import NamedTuple

from bramblebeam.core.identity import NodeId
from bramblebeam.core.ownership.rendezvous import owner_of, tenant_key
from bramblebeam.core.tenants import RateLimit, TenantId

NO_RECEIPT = 0
NO_GRANT = 0
_CACHED_TENANTS = 20_000


class AdmissionRequest(NamedTuple):
    """Asks the node that counts a tenant to admit one operation. The reply is `Admission`.

    `limit`: the tenant's limit in the configuration `version` in force at the sender.
    """

    tenant: TenantId
    limit: RateLimit | None = None
    version: int = 0


class Admission(NamedTuple):
    """Whether an operation may begin.

    `wait`: if not admitted, seconds until the next operation may begin; None: never, as the limit
    is zero. `receipt`: identifies the count for a refund. `share`: the share of the limit that the
    node counts by; 0: it does not count the tenant, and another node must be asked.
    """

    admitted: bool
    wait: float | None = 0.0
    receipt: int = NO_RECEIPT
    share: float = 1.0


ADMITTED = Admission(True)
NOT_COUNTED_HERE = Admission(False, share=0.0)


class AdmissionReturned(NamedTuple):
    """Refunds an admitted operation that has surely not run."""

    tenant: TenantId
    receipt: int = NO_RECEIPT


class GrantRequest(NamedTuple):
    """Asks a grantor for its part of all limits. The reply is `Grant`.

    `number`: of the request. `held`: the number of this grantor's grant that the sender counts by,
    or NO_GRANT; the sender no longer counts by any earlier grant.
    """

    number: int
    held: int = NO_GRANT


class BlockingGrant(NamedTuple):
    """An earlier grant that its holder may still count by for some `seconds`.

    Tenants whose counting node among `counting_nodes` is `holder` are granted to no other node.
    """

    holder: NodeId
    counting_nodes: tuple[NodeId, ...]
    seconds: float


class Grant(NamedTuple):
    """Grants the sender's part of limits, for GRANT_SECONDS from the time of the request.

    `answers`: the number of the request. `counting_nodes`: the nodes that tenants are divided
    among; the grant covers the tenants whose counting node is the receiver, except those that
    `blocking` excludes. `part`: how much of the grantor's part is granted (0 to 1); 0: none.
    `parts`: the number of parts that limits are divided into, as far as the grantor knows.
    """

    answers: int
    number: int = NO_GRANT
    counting_nodes: tuple[NodeId, ...] = ()
    part: float = 0.0
    parts: int = 0
    blocking: tuple[BlockingGrant, ...] = ()


class GrantReturned(NamedTuple):
    """The sender no longer counts by the receiver's grant of this `number`, or an earlier one."""

    number: int


@lru_cache(maxsize=_CACHED_TENANTS)
def counting_node(tenant: TenantId, nodes: tuple[NodeId, ...]) -> NodeId | None:
    """Return which of `nodes` counts a tenant, the same on every node; None if there are none."""
    return owner_of(tenant_key(tenant), nodes)
