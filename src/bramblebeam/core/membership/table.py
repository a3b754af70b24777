"""The member table: merges records, maintains digests by zone and creates views."""

from collections.abc import Iterable

import xxhash

from bramblebeam.core.identity import NodeId, ZoneId
from bramblebeam.core.membership.messages import MemberUpdate, MemberVersion, ZoneDigest
from bramblebeam.core.membership.view import Member, MemberState, MembersView

NEVER = float("-inf")


class MemberTable:
    """All known members. Records are merged by (incarnation, state): the higher pair wins."""

    def __init__(self) -> None:
        self.members: dict[NodeId, Member] = {}
        self.total = 0
        """Exclusive or of all zones' digests."""
        self._present: dict[ZoneId, set[NodeId]] = {}
        self._digests: dict[ZoneId, int] = {}
        self._changed_at: dict[ZoneId, float] = {}
        self._dead_since: dict[NodeId, float] = {}
        self._present_sorted: dict[ZoneId, tuple[NodeId, ...]] = {}
        self._owners: dict[ZoneId, tuple[NodeId, ...]] = {}

    def apply(self, update: MemberUpdate, now: float) -> bool:
        """Merge a record; return whether it was applied. Deaths of unknown members are ignored."""
        known = self.members.get(update.node)
        if known is None:
            if update.spec is None or update.state is MemberState.DEAD:
                return False
            spec = update.spec
        else:
            if (update.incarnation, update.state) <= (known.incarnation, known.state):
                return False
            spec = update.spec or known.spec
            self._remove(known)
        self._insert(Member(spec, update.incarnation, update.state), now)
        return True

    def forget_dead(self, before: float) -> bool:
        """Remove members dead since `before` or earlier; return whether there were any."""
        old = [node for node, since in self._dead_since.items() if since <= before]
        for node in old:
            self._remove(self.members.pop(node))
        return bool(old)

    def update_for(self, node: NodeId) -> MemberUpdate | None:
        """Return a member's record in the form sent to peers, or None."""
        member = self.members.get(node)
        if member is None:
            return None
        spec = None if member.state is MemberState.DEAD else member.spec
        return MemberUpdate(node, member.incarnation, member.state, spec)

    def present(self, zone: ZoneId) -> tuple[NodeId, ...]:
        """Return the zone's members that are not dead, sorted."""
        found = self._present_sorted.get(zone)
        if found is None:
            found = tuple(sorted(self._present.get(zone, ())))
            self._present_sorted[zone] = found
        return found

    def owners(self, zone: ZoneId) -> tuple[NodeId, ...]:
        """Return the zone's members that may own something, sorted."""
        found = self._owners.get(zone)
        if found is None:
            may_own = (MemberState.ALIVE, MemberState.SUSPECT)
            present = self.present(zone)
            found = tuple(node for node in present if self.members[node].state in may_own)
            self._owners[zone] = found
        return found

    def zones(self) -> list[ZoneId]:
        """Return the zones with members that are not dead."""
        return [zone for zone, nodes in self._present.items() if nodes]

    def dead(self) -> Iterable[NodeId]:
        """Return the dead members that are not yet removed."""
        return self._dead_since.keys()

    def digests(self, now: float, settle: float) -> tuple[ZoneDigest, ...]:
        """Return the digest of each zone; `settled`: unchanged for `settle` seconds."""
        return tuple(
            ZoneDigest(zone, self._digests[zone], now - self._changed_at[zone] >= settle)
            for zone in self.zones()
        )

    def differing(self, other: Iterable[ZoneDigest]) -> list[ZoneId]:
        """Return the zones in which the table with the digests `other` differs from this one."""
        theirs = {digest.zone: digest.digest for digest in other}
        zones = {*theirs, *self.zones()}
        return [z for z in sorted(zones) if theirs.get(z, 0) != self._digests.get(z, 0)]

    def versions(self, zones: Iterable[ZoneId]) -> tuple[MemberVersion, ...]:
        """Return the versions of the zones' members, dead ones included."""
        wanted = set(zones)
        return tuple(
            MemberVersion(node, member.incarnation, member.state)
            for node, member in self.members.items()
            if member.spec.zone in wanted
        )

    def view(self, unreachable: frozenset[ZoneId]) -> MembersView:
        """Return an immutable view of the table."""
        owners = {zone: self.owners(zone) for zone in self.zones()}
        return MembersView(dict(self.members), owners, unreachable)

    def _insert(self, member: Member, now: float) -> None:
        node = member.spec.node
        zone = member.spec.zone
        self.members[node] = member
        if member.state is MemberState.DEAD:
            self._dead_since[node] = now
        else:
            self._present.setdefault(zone, set()).add(node)
            self._toggle_digest(zone, member)
        self._changed_at[zone] = now
        self._clear_cache(zone)

    def _remove(self, member: Member) -> None:
        node = member.spec.node
        zone = member.spec.zone
        if member.state is MemberState.DEAD:
            del self._dead_since[node]
            return
        self._present[zone].discard(node)
        self._toggle_digest(zone, member)
        self._clear_cache(zone)

    def _toggle_digest(self, zone: ZoneId, member: Member) -> None:
        digest_part = _hash(member)
        self.total ^= digest_part
        self._digests[zone] = self._digests.get(zone, 0) ^ digest_part

    def _clear_cache(self, zone: ZoneId) -> None:
        self._present_sorted.pop(zone, None)
        self._owners.pop(zone, None)


def _hash(member: Member) -> int:
    leaving = int(member.state is MemberState.LEAVING)
    text = f"{member.spec.node}\x00{member.incarnation}\x00{leaving}"
    return xxhash.xxh3_64_intdigest(text.encode())
