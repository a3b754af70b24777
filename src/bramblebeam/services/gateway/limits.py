"""The limits of tenants at one node: what it lends, what it holds of others, what it counts."""

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

LOOK_SECONDS = 0.1
"""How often a node that counts tenants looks for grantors to ask."""
MOST_TOLD = 1_000
"""Limits of tenants that are kept of newer configurations of other nodes."""
REPORTED_LIMIT_SECONDS = 10.0
"""A newer configuration is here within so long, or whoever told of it was wrong."""
_NUMBER_BITS = 48


class GrantMessages(Protocol):
    """Carries messages about grants to other nodes, without a promise that they arrive."""

    def send(self, to: Address, message: GrantRequest | Grant | GrantReturned) -> None:
        """Send one message."""


class _ToldLimit(NamedTuple):
    """A tenant's limit by a configuration that this node does not have yet.

    `told_at`: steady clock, seconds.
    """

    version: int
    limit: RateLimit
    told_at: float


class CountedTenant(NamedTuple):
    """A tenant as this node counts it. `counted`: operations of the last LIMIT_SECONDS that were
    not given back."""

    tenant: TenantId
    limit: RateLimit
    share: float
    counted: int


class TenantLimits:
    """Counts operations of tenants by the parts of limits that this node holds."""

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
        self._told: dict[TenantId, _ToldLimit] = {}
        self._followed_at = float("-inf")
        self._leaving = False

    # What changes.

    def start(self) -> None:
        """Note that this life of the node begins."""
        self._grantor.start(self._context.now())

    def configure(self) -> None:
        """Follow the configuration in force."""
        version = self._context.table.version
        self._told = {tenant: told for tenant, told in self._told.items() if told.version > version}
        self.update_serving()

    def update_members(self, members: MembersView) -> None:
        """Follow the members: over whom limits are divided, and who counts."""
        self._members = members
        known = frozenset(members.members)
        if known != self._known:
            self._known = known
            grantors = select_grantors(known) or (self._node,)
            self._fleet = self._fleet._replace(grantors=grantors)
        self.update_serving()

    def update_serving(self) -> None:
        """Follow which nodes serve tenants: one that does not any more lets go of what it holds."""
        serving = self._context.serving_tenants()
        # A node that has met nobody can't know how many there are.
        is_alone = self._context.expects_others and len(self._known) <= 1
        parts = MAXIMUM_GRANTORS if is_alone else len(self._fleet.grantors)
        changed = serving != self._fleet.serving
        self._fleet = self._fleet._replace(serving=serving, parts=parts)
        if changed and self._node not in serving:
            self._let_go()
        elif changed:
            self._holdings.request_all_again()

    def leave(self) -> None:
        """Count for nobody any more, as the node stops."""
        self._leaving = True
        self._let_go()

    def _let_go(self) -> None:
        for grantor, returned in self._holdings.release_all():
            if grantor == self._node:
                self._grantor.release(self._node, returned.number)
            else:
                self._send(grantor, returned)
        self._follow(self._context.now())

    # Grants.

    async def run(self) -> None:
        """Ask for grants as long as this node counts tenants."""
        while True:
            self.request_grants()
            await asyncio.sleep(LOOK_SECONDS)

    def request_grants(self) -> None:
        """Ask the grantors whose turn it is, and let the buckets follow what is held."""
        now = self._context.now()
        if now - self._followed_at >= REQUEST_INTERVAL:
            self._follow(now)
        if self._counts:
            for grantor in self._holdings.pending_grantors(self._fleet.grantors, now):
                self._ask(grantor, now)

    def _follow(self, now: float) -> None:
        self._followed_at = now
        self._counter.update_shares(self.limit_of, self.share, now)

    @property
    def _counts(self) -> bool:
        """Whether this node may count tenants, and there are any with a limit."""
        tenants = self._context.table.tenants
        if tenants is None or not tenants.has_limits or self._leaving:
            return False
        return self._node in self._fleet.serving

    def _ask(self, grantor: NodeId, now: float) -> None:
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
        """Answer a node that asks for this one's part of limits."""
        grant = self._grantor.answer(holder, request, self._fleet, self._context.now())
        self._messages.send(source, grant)

    def handle_grant(self, grantor: NodeId, grant: Grant) -> None:
        """Take another node's part of limits."""
        if not self._counts:
            return
        now = self._context.now()
        self._holdings.handle_grant(grantor, grant, now)
        if grantor in self._holdings.pending_grantors((grantor,), now):
            self._ask(grantor, now)

    def handle_grant_returned(self, holder: NodeId, returned: GrantReturned) -> None:
        """Take back what another node counts by no more."""
        self._grantor.release(holder, returned.number)
        if self._counts:
            self._holdings.request_all_again()

    # Counts.

    def share(self, tenant: TenantId) -> float:
        """Return the part of a tenant's limit that this node counts by now, 0 to 1."""
        return self._holdings.share(tenant, self._fleet.parts, self._context.now())

    def count(self, request: AdmissionRequest) -> Admission:
        """Count one operation of a tenant, if this node counts it."""
        records = self._context.metrics.tenants
        tenant = request.tenant
        self._note_told(request)
        limit = self.limit_of(tenant)
        if limit is None:
            records.record_uncounted(tenant, "no limit of it is known here")
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
        """Yield what is known here of each tenant that is, or was, counted here."""
        now = self._context.now()
        for tenant in self._counter.tenants:
            limit = self.limit_of(tenant)
            if limit is not None:
                counted = self._counter.counted_operations(tenant, now)
                yield CountedTenant(tenant, limit, self.share(tenant), counted)

    def refund(self, returned: AdmissionReturned) -> None:
        """Count an operation as never begun, as no database can have run it."""
        now = self._context.now()
        counted = self._counter.refund(returned.tenant, returned.receipt, now)
        part = Outcome.RETURNED if counted else Outcome.RETURN_IGNORED
        self._context.metrics.tenants.record(returned.tenant, part)

    def limit_of(self, tenant: TenantId) -> RateLimit | None:
        """Return the limit to count by: a newer one only where it is lower, or no other is known.

        So a node that is wrong can raise no limit, and lower none for long.
        """
        own = self._context.limit_of(tenant)
        told = self._told.get(tenant)
        if told is None or self._context.now() - told.told_at > REPORTED_LIMIT_SECONDS:
            return own
        return told.limit if own is None else min(own, told.limit)

    def _note_told(self, request: AdmissionRequest) -> None:
        """Keep a limit of a configuration that has not come here yet."""
        limit, version = request.limit, request.version
        if limit is None or version <= self._context.table.version or not _is_sound(limit):
            return
        known = self._told.get(request.tenant)
        if known is None and len(self._told) >= MOST_TOLD:
            return
        if known is None or version > known.version:
            self._told[request.tenant] = _ToldLimit(version, limit, self._context.now())


def _is_sound(limit: RateLimit) -> bool:
    """Whether another node's figures can be reckoned with."""
    return all(math.isfinite(figure) and figure >= 0.0 for figure in limit)
