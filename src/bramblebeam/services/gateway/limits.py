"""Tenants' limits at one node: the grants it issues and holds, and the operations it counts."""

from __future__ import annotations

import asyncio
import math
import secrets
from collections.abc import Iterator
from typing import TYPE_CHECKING, NamedTuple, Protocol

from bramblebeam.core.identity import Address, NodeId
from bramblebeam.core.membership.view import MemberState, MembersView
from bramblebeam.core.quota.counter import QuotaCounter
from bramblebeam.core.quota.grantor import MAXIMUM_GRANTORS, Fleet, Grantor, select_grantors
from bramblebeam.core.quota.held_grants import REQUEST_INTERVAL, HeldGrants
from bramblebeam.core.quota.messages import (
    ADMITTED,
    Admission,
    AdmissionRequest,
    AdmissionReturned,
    Grant,
    GrantRequest,
    GrantReturned,
)
from bramblebeam.core.tenants import RateLimit, TenantId
from bramblebeam.services.gateway.tenant_records import Outcome

if TYPE_CHECKING:
    from bramblebeam.services.gateway.context import GatewayContext

POLL_INTERVAL = 0.1
"""Interval at which a node that counts tenants checks for pending grant requests."""
MAXIMUM_REPORTED_LIMITS = 1_000
"""Maximum number of tenants whose limits are kept from other nodes' newer configurations."""
REPORTED_LIMIT_SECONDS = 10.0
"""How long a limit reported by another node is valid: by then its configuration has arrived here,
or the other node was wrong."""
_NUMBER_BITS = 48


class GrantMessages(Protocol):
    """Sends messages about grants to other nodes; they may be lost."""

    def send(self, to: Address, message: GrantRequest | Grant | GrantReturned) -> None:
        """Send one message."""


class _ReportedLimit(NamedTuple):
    """A tenant's limit in a configuration that has not reached this node yet.

    `reported_at`: monotonic clock, seconds.
    """

    version: int
    limit: RateLimit
    reported_at: float


class CountedTenant(NamedTuple):
    """A tenant that this node counts. `counted`: operations of the last LIMIT_SECONDS that were
    not refunded."""

    tenant: TenantId
    limit: RateLimit
    share: float
    counted: int


class TenantLimits:
    """Counts tenants' operations against the parts of their limits that this node holds."""

    def __init__(self, context: GatewayContext, messages: GrantMessages) -> None:
        self._context = context
        self._messages = messages
        self._node = context.owners.location.node
        self._grantor = Grantor(self._node, secrets.randbits(_NUMBER_BITS) + 1)
        self._holdings = HeldGrants(self._node)
        self._counter = QuotaCounter(secrets.randbits(_NUMBER_BITS))
        self._members = MembersView()
        self._known: frozenset[NodeId] = frozenset()
        self._fleet = Fleet(frozenset(), (self._node,), 1)
        self._reported_limits: dict[TenantId, _ReportedLimit] = {}
        self._updated_at = float("-inf")
        self._leaving = False

    # Configuration and membership.

    def start(self) -> None:
        """Record the start of this incarnation of the node."""
        self._grantor.start(self._context.now())

    def configure(self) -> None:
        """Apply the configuration in force."""
        version = self._context.table.version
        self._reported_limits = {
            tenant: reported
            for tenant, reported in self._reported_limits.items()
            if reported.version > version
        }
        self.update_serving()

    def update_members(self, members: MembersView) -> None:
        """Apply the known members, which determine the grantors and the counting nodes."""
        self._members = members
        known = frozenset(members.members)
        if known != self._known:
            self._known = known
            grantors = select_grantors(known) or (self._node,)
            self._fleet = self._fleet._replace(grantors=grantors)
        self.update_serving()

    def update_serving(self) -> None:
        """Apply which nodes serve tenants; release all grants if this node no longer does."""
        serving = self._context.serving_tenants()
        # A node that has met no other node can't know how many there are.
        is_alone = self._context.expects_others and len(self._known) <= 1
        parts = MAXIMUM_GRANTORS if is_alone else len(self._fleet.grantors)
        changed = serving != self._fleet.serving
        self._fleet = self._fleet._replace(serving=serving, parts=parts)
        if changed and self._node not in serving:
            self._release_all()
        elif changed:
            self._holdings.request_all_again()

    def leave(self) -> None:
        """Stop counting and release all grants, as the node stops."""
        self._leaving = True
        self._release_all()

    def _release_all(self) -> None:
        for grantor, returned in self._holdings.release_all():
            if grantor == self._node:
                self._grantor.release(self._node, returned.number)
            else:
                self._send(grantor, returned)
        self._update_shares(self._context.now())

    # Grants.

    async def run(self) -> None:
        """Request grants while this node counts tenants, until cancelled."""
        while True:
            self.request_grants()
            await asyncio.sleep(POLL_INTERVAL)

    def request_grants(self) -> None:
        """Send the pending grant requests, and update the buckets to the held shares."""
        now = self._context.now()
        if now - self._updated_at >= REQUEST_INTERVAL:
            self._update_shares(now)
        if self._counts_tenants:
            for grantor in self._holdings.pending_grantors(self._fleet.grantors, now):
                self._request_grant(grantor, now)

    def _update_shares(self, now: float) -> None:
        self._updated_at = now
        self._counter.update_shares(self.limit_of, self.share, now)

    @property
    def _counts_tenants(self) -> bool:
        """Whether this node may count tenants, and at least one has a limit."""
        tenants = self._context.table.tenants
        if tenants is None or not tenants.has_limits or self._leaving:
            return False
        return self._node in self._fleet.serving

    def _request_grant(self, grantor: NodeId, now: float) -> None:
        if grantor == self._node:
            request = self._holdings.request(grantor, now)
            grant = self._grantor.answer(grantor, request, self._fleet, now)
            self._holdings.handle_grant(grantor, grant, now)
        elif self._is_up(grantor):
            self._send(grantor, self._holdings.request(grantor, now))

    def _is_up(self, node: NodeId) -> bool:
        member = self._members.members.get(node)
        return member is not None and member.state is not MemberState.DEAD

    def _send(self, node: NodeId, message: GrantRequest | GrantReturned) -> None:
        member = self._members.members.get(node)
        if member is not None:
            self._messages.send(member.spec.peer_address, message)

    def handle_grant_request(self, holder: NodeId, request: GrantRequest, source: Address) -> None:
        """Answer another node's request for this node's part of the limits."""
        grant = self._grantor.answer(holder, request, self._fleet, self._context.now())
        self._messages.send(source, grant)

    def handle_grant(self, grantor: NodeId, grant: Grant) -> None:
        """Handle a grant of another node's part of the limits."""
        if not self._counts_tenants:
            return
        now = self._context.now()
        self._holdings.handle_grant(grantor, grant, now)
        if grantor in self._holdings.pending_grantors((grantor,), now):
            self._request_grant(grantor, now)

    def handle_grant_returned(self, holder: NodeId, returned: GrantReturned) -> None:
        """Handle the release of a grant by the node that held it."""
        self._grantor.release(holder, returned.number)
        if self._counts_tenants:
            self._holdings.request_all_again()

    # Counting.

    def share(self, tenant: TenantId) -> float:
        """Return the share of a tenant's limit that this node counts by now (0 to 1)."""
        return self._holdings.share(tenant, self._fleet.parts, self._context.now())

    def count(self, request: AdmissionRequest) -> Admission:
        """Count one operation of a tenant, if this node counts the tenant."""
        records = self._context.metrics.tenants
        tenant = request.tenant
        self._record_reported(request)
        limit = self.limit_of(tenant)
        if limit is None:
            records.record_uncounted(tenant, "its limit is not known here")
            return ADMITTED
        is_new = not self._counter.has_bucket(tenant)
        admission = self._counter.admit(tenant, limit, self.share(tenant), self._context.now())
        if admission.share <= 0.0:
            return admission
        if is_new and self._counter.has_bucket(tenant):
            records.record_counting_start(tenant)
        records.record(tenant, Outcome.COUNTED if admission.admitted else Outcome.REFUSED)
        if not admission.admitted:
            records.record_limit_reached(tenant, self._context.now())
        return admission

    def counted(self) -> Iterator[CountedTenant]:
        """Yield each tenant that is counted here, or was recently."""
        now = self._context.now()
        for tenant in self._counter.tenants:
            limit = self.limit_of(tenant)
            if limit is not None:
                counted = self._counter.counted_operations(tenant, now)
                yield CountedTenant(tenant, limit, self.share(tenant), counted)

    def refund(self, returned: AdmissionReturned) -> None:
        """Refund an operation that never began, as no database can have run any part of it."""
        now = self._context.now()
        counted = self._counter.refund(returned.tenant, returned.receipt, now)
        part = Outcome.RETURNED if counted else Outcome.RETURN_IGNORED
        self._context.metrics.tenants.record(returned.tenant, part)

    def limit_of(self, tenant: TenantId) -> RateLimit | None:
        """Return the limit to count by.

        A limit reported by another node applies only if it is lower than this node's, or if this
        node knows none. So a faulty node can't raise a limit, and can lower one only for a while.
        """
        own = self._context.limit_of(tenant)
        reported = self._reported_limits.get(tenant)
        if reported is None or self._context.now() - reported.reported_at > REPORTED_LIMIT_SECONDS:
            return own
        return reported.limit if own is None else min(own, reported.limit)

    def _record_reported(self, request: AdmissionRequest) -> None:
        """Record a reported limit of a configuration that has not reached this node yet."""
        limit, version = request.limit, request.version
        if limit is None or version <= self._context.table.version or not _is_valid(limit):
            return
        known = self._reported_limits.get(request.tenant)
        if known is None and len(self._reported_limits) >= MAXIMUM_REPORTED_LIMITS:
            return
        if known is None or version > known.version:
            self._reported_limits[request.tenant] = _ReportedLimit(
                version, limit, self._context.now()
            )


def _is_valid(limit: RateLimit) -> bool:
    """Whether a limit reported by another node is finite and not negative."""
    return all(math.isfinite(figure) and figure >= 0.0 for figure in limit)
