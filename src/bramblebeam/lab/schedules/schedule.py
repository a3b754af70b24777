"""One seeded schedule: random faults, a period without faults, then the checks."""

import random
from itertools import count

from bramblebeam.core.group.events import ChangeRequested
from bramblebeam.core.identity import (
    Address,
    GroupId,
    InstanceId,
    InstanceSpec,
    NodeId,
    ZoneId,
)
from bramblebeam.core.role import Role
from bramblebeam.lab.schedules.clock import Network, VirtualClock
from bramblebeam.lab.schedules.members import HistoryError, Members
from bramblebeam.lab.schedules.watchers import Watchers

START_SECONDS = 30.0
"""Time within which a group must acknowledge its first write."""
START_POLL_SECONDS = 0.5
FAULT_SECONDS = 6.0
HEALED_SECONDS = 8.0
MAX_UNACKNOWLEDGED_WRITES = 20
"""Log entries that may be unacknowledged at the end."""

WATCHERS = 3
FAULT_KINDS = 7
MAX_FAULT_SECONDS = 4.0
ADDRESS = Address("127.0.0.1", 3306)


class Schedule:
    """A group under random faults, fully determined by the seed."""

    def __init__(self, seed: int, member_count: int) -> None:
        self.clock = VirtualClock()
        self._random = random.Random(seed)
        self._network = Network(self._random)
        names = [InstanceId(f"db-{number}") for number in range(member_count)]
        group, zone = GroupId("parcels"), ZoneId("zone")
        specs = tuple(InstanceSpec(name, group, zone, ADDRESS) for name in names)
        nodes = tuple(NodeId(f"node-{number}") for number in range(WATCHERS))
        self.members = Members(self.clock, self._network, names)
        self.watchers = Watchers(self.clock, self._network, self.members, specs, nodes)
        self._requests = count(1)

    def run(self) -> str:
        """Run the schedule; return a description of the violation, or an empty string."""
        try:
            self._run()
        except (HistoryError, AssertionError) as error:
            return f"{type(error).__name__}: {error}"
        return self._judge()

    def _run(self) -> None:
        self.members.write_periodically()
        while not self.members.acknowledged and self.clock.now < START_SECONDS:
            self.clock.run(START_POLL_SECONDS)
        self._inject_fault()
        self.clock.run(FAULT_SECONDS)
        self._network.heal()
        for name in self.members.all:
            self.members.restart(name)
        self.clock.run(HEALED_SECONDS)

    def _inject_fault(self) -> None:
        """Inject one fault and schedule the next."""
        if self._network.healed:
            return
        self.clock.call_later(self._random.uniform(0.1, 0.8), self._inject_fault)
        name = self._random.choice(list(self.members.all))
        node = self._random.choice(self.watchers.nodes)
        duration = self._random.uniform(0.1, MAX_FAULT_SECONDS)
        match self._random.randrange(FAULT_KINDS):
            case 0:
                self.members.kill(name)
                self.clock.call_later(duration, lambda: self.members.restart(name))
            case 1:
                self.members.pause(name, duration)
            case 2:
                self.watchers.pause(node, duration)
            case 3:
                self.watchers.replace(node)
            case 4:
                self.watchers.deliver(node, ChangeRequested(next(self._requests), name))
            case _:
                self._cut(name, duration)

    def _cut(self, name: InstanceId, duration: float) -> None:
        other = self._random.choice([*self.members.all, *self.watchers.nodes])
        pair = frozenset((str(name), str(other)))
        if len(pair) == 2:
            self._network.cut.add(pair)
            self.clock.call_later(duration, lambda: self._network.cut.discard(pair))

    def _judge(self) -> str:
        acknowledged = self.members.acknowledged
        leaders = [m for m in self.members.all.values() if m.replica.role is Role.PRIMARY]
        newest = max(leaders, key=lambda member: member.replica.term, default=None)
        if newest is None or not acknowledged:
            return "the group has no primary or never acknowledged a write"
        log = newest.replica.log
        for position, payload in acknowledged.items():
            if not log.holds(position) or log.entry(position.offset).payload != payload:
                return f"the acknowledged write at {position} is lost"
        last = max(acknowledged)
        if last.term != newest.replica.term or len(log) - last.offset >= MAX_UNACKNOWLEDGED_WRITES:
            return "the group no longer acknowledges writes"
        followed = {member.replica.primary for member in self.members.all.values()}
        if followed != {NodeId(newest.name)}:
            return f"members follow {followed} instead of {newest.name}"
        return ""
