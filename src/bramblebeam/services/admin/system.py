"""The administration API's operations on nodes, groups and pools."""

import logging
from collections.abc import Iterable

from bramblebeam.core.administration.messages import (
    DrainNodeReply,
    DrainNodeRequest,
    NodeStatusReply,
    NodeStatusRequest,
)
from bramblebeam.core.configuration.rows import GroupSpec, MemberSpec, WeightSpec
from bramblebeam.core.group.messages import (
    ChangeOutcome,
    ChangePrimaryReply,
    ChangePrimaryRequest,
)
from bramblebeam.core.identity import GroupId, InstanceId, NodeId
from bramblebeam.core.membership.view import Member
from bramblebeam.core.role import Role
from bramblebeam.core.statement import InstanceStatus
from bramblebeam.edges.admin.authentication import Operator
from bramblebeam.edges.admin.errors import ApiError, Problem, refuse
from bramblebeam.edges.admin.schemas import (
    ChangePrimaryResult,
    GroupBody,
    GroupList,
    GroupMemberBody,
    MemberBody,
    MemberList,
    NodeDrainResult,
    PoolBody,
    PoolList,
    PoolServiceBody,
)
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import ADMIN_NODE_DRAIN, ADMIN_PRIMARY_CHANGE
from bramblebeam.kernel import Kernel
from bramblebeam.services.admin.peers import ask_node, ask_nodes
from bramblebeam.services.admin.views import Views

logger = logging.getLogger(__name__)

CHANGE_SECONDS = 15.0

Owners = dict[InstanceId, NodeId | None]
Answers = dict[NodeId, NodeStatusReply | None]


class SystemOperations:
    """Queries the owners of back ends, and forwards operators' commands to nodes."""

    def __init__(self, kernel: Kernel, views: Views) -> None:
        self._kernel = kernel
        self._views = views

    def members(self, zone: str, after: str, limit: int) -> MemberList:
        """Return a page of the known nodes, sorted by zone and name; `after`: `ZONE/NODE`."""
        named = {
            f"{member.spec.zone}/{member.spec.node}": member
            for member in self._views.members.members.values()
            if zone in ("", member.spec.zone)
        }
        following = sorted(name for name in named if name > after)
        page = following[: max(limit, 1)]
        more = len(following) > len(page)
        bodies = [_node_body(named[name]) for name in page]
        return MemberList(members=bodies, next=page[-1] if more else None)

    async def groups(self, after: str, limit: int) -> GroupList:
        """Return a page of groups."""
        page, following = self._page(after, limit)
        answers = await self._ask_owners(page.values())
        bodies = [self._group_body(name, spec, answers) for name, spec in page.items()]
        return GroupList(groups=bodies, next=following)

    async def group(self, name: GroupId) -> GroupBody:
        """Return one group. Raises ApiError 404."""
        spec = self._group(name)
        return self._group_body(name, spec, await self._ask_owners([spec]))

    async def pools(self, group: str, after: str, limit: int) -> PoolList:
        """Return the pools of one group, or of a page of groups. Raises ApiError 404."""
        if group:
            page, following = {GroupId(group): self._group(GroupId(group))}, None
        else:
            page, following = self._page(after, limit)
        answers = await self._ask_owners(page.values())
        pools = [pool for spec in page.values() for pool in self._pool_bodies(spec, answers)]
        known = {pool.instance for pool in pools}
        wanted = [member.instance for spec in page.values() for member in spec.members]
        missing: list[str] = [instance for instance in wanted if instance not in known]
        return PoolList(pools=pools, unreachable=missing, next=following)

    async def change_primary(
        self, operator: Operator, group: GroupId, instance: InstanceId
    ) -> ChangePrimaryResult:
        """Request a change of primary from the group's watchers in turn.

        Raises ApiError 403, 404, 409, 503, 504."""
        operator.require_row(group)
        spec = self._group(group)
        if all(member.instance != instance for member in spec.members):
            raise refuse(404, "instance", f"{instance!r} is not a member of group {group!r}")
        reply = await self._ask_watchers(spec, ChangePrimaryRequest(group, instance))
        outcome = reply.outcome.name.lower() if reply else "unknown"
        log_event(
            logger,
            ADMIN_PRIMARY_CHANGE,
            operator=operator.name,
            group=group,
            instance=instance,
            outcome=outcome,
        )
        return _change_result(reply)

    async def drain_node(self, operator: Operator, node: NodeId) -> NodeDrainResult:
        """Ask a node to stop as planned. Raises ApiError 403, 404, 504."""
        operator.require_row(node)
        if node not in self._views.members.members:
            raise refuse(404, "node", f"there is no node {node!r}")
        log_event(logger, ADMIN_NODE_DRAIN, operator=operator.name, node=node)
        request = DrainNodeRequest(operator.name)
        if await ask_node(self._kernel, node, request, DrainNodeReply) is None:
            raise _unknown(f"node {node!r} did not answer")
        return NodeDrainResult(node=node)

    # Queries to the owners of back ends, and their answers.

    def _page(self, after: str, limit: int) -> tuple[dict[GroupId, GroupSpec], str | None]:
        known = self._views.configuration.groups
        names = sorted(name for name in known if name > after)
        shown = names[: max(limit, 1)]
        following = shown[-1] if len(names) > len(shown) else None
        return {name: known[name] for name in shown}, following

    def _group(self, name: GroupId) -> GroupSpec:
        spec = self._views.configuration.groups.get(name)
        if spec is None:
            raise refuse(404, "group", f"there is no group {name!r} in force")
        return spec

    async def _ask_owners(self, groups: Iterable[GroupSpec]) -> Answers:
        wanted: dict[NodeId, list[InstanceId]] = {}
        for group in groups:
            for instance, owner in self._views.owners_of(group).items():
                if owner is not None:
                    wanted.setdefault(owner, []).append(instance)
        requests = {node: NodeStatusRequest(tuple(listed)) for node, listed in wanted.items()}
        return await ask_nodes(self._kernel, requests, NodeStatusReply)

    def _group_body(self, name: GroupId, spec: GroupSpec, answers: Answers) -> GroupBody:
        owners = self._views.owners_of(spec)
        statuses = _statuses(answers)
        weights = self._views.configuration.weights
        members = [
            _member_body(member, owners, statuses, weights.get(member.instance))
            for member in spec.members
        ]
        primaries = [
            status
            for member in spec.members
            if (status := statuses.get(member.instance)) and status.role is Role.PRIMARY
        ]
        newest = max(primaries, key=lambda status: status.term, default=None)
        phase = self._views.groups.get(name)
        return GroupBody(
            group=name,
            failover=spec.failover,
            primary=newest.instance if newest else None,
            term=max((body.term or 0 for body in members), default=0),
            phase=phase.phase.name.lower() if phase else None,
            members=members,
            unreachable=[body.instance for body in members if body.reachable is None],
        )

    def _pool_bodies(self, spec: GroupSpec, answers: Answers) -> list[PoolBody]:
        instances = {member.instance for member in spec.members}
        return [
            PoolBody(
                instance=report.instance,
                group=report.group,
                owner=node,
                limit=report.limit,
                used=report.used,
                queued=report.queued,
                services=[PoolServiceBody(**part._asdict()) for part in report.services],
            )
            for node, reply in answers.items()
            if reply is not None
            for report in reply.pools
            if report.instance in instances
        ]

    async def _ask_watchers(
        self, spec: GroupSpec, request: ChangePrimaryRequest
    ) -> ChangePrimaryReply | None:
        """Send the request to the owners of the members in turn, until one watches the group."""
        reply = None
        for node in sorted({owner for owner in self._views.owners_of(spec).values() if owner}):
            reply = await ask_node(self._kernel, node, request, ChangePrimaryReply, CHANGE_SECONDS)
            if reply is None or reply.outcome is not ChangeOutcome.NOT_WATCHED:
                return reply
        return reply


def _node_body(member: Member) -> MemberBody:
    return MemberBody(
        node=member.spec.node,
        zone=member.spec.zone,
        region=member.spec.region,
        state=member.state.name.lower(),
        incarnation=member.incarnation,
        admin=f"{member.spec.admin_address.host}:{member.spec.admin_address.port}",
    )


def _statuses(answers: Answers) -> dict[InstanceId, InstanceStatus]:
    replies = [reply for reply in answers.values() if reply is not None]
    return {status.instance: status for reply in replies for status in reply.instances}


def _member_body(
    member: MemberSpec,
    owners: Owners,
    statuses: dict[InstanceId, InstanceStatus],
    weight: WeightSpec | None,
) -> GroupMemberBody:
    body = GroupMemberBody(
        instance=member.instance,
        zone=member.zone,
        owner=owners.get(member.instance),
        drained=weight is not None and weight.drain,
    )
    status = statuses.get(member.instance)
    if status is None:
        return body
    return body.model_copy(
        update={
            "reachable": status.reachable,
            "role": status.role.name.lower(),
            "term": status.term,
            "last": f"{status.last.term}:{status.last.offset}",
            "applied": f"{status.applied.term}:{status.applied.offset}",
            "lag_ms": status.lag_ms,
            "leaving": status.leaving,
        }
    )


def _change_result(reply: ChangePrimaryReply | None) -> ChangePrimaryResult:
    if reply is None:
        raise _unknown("the group's watcher did not answer: the change may be under way")
    result = ChangePrimaryResult(
        group=reply.group,
        outcome=reply.outcome.name.lower(),
        term=reply.term,
        primary=reply.primary,
        detail=reply.detail,
        duration_ms=reply.duration_ms,
    )
    if reply.outcome in (ChangeOutcome.DONE, ChangeOutcome.ALREADY_PRIMARY):
        return result
    text = f"the change was not made as asked ({result.outcome}): {result.detail}"
    raise refuse(409, "change", text, result=result.model_dump())


def _unknown(message: str) -> ApiError:
    return ApiError(504, Problem(code="unknown", message=message, not_run=False))
