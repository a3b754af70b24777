"""A change of primary that ignores a member which looks ended, and still runs.

Member 0 leads term 1. A node without the store uses it under a lease; it reaches member 1, and
member 2 at times. The orderer reaches member 2 alone: member 1 is silent to it, and its
registration has lapsed. The orderer pauses member 2 and promotes it, which does not depose the
former leader. Member 1 hears nothing of that.

A confirmation of member 1 renews the lease only while the node has seen member 2 unpaused within
`SIGHTING_TICKS`. The orderer therefore waits that long before the usual wait for leases.
"""

from collections.abc import Iterator
from typing import NamedTuple

from spec.checking import Model, Step, is_kept

LEASE_TICKS = 2
SIGHTING_TICKS = 3


class State(NamedTuple):
    """`lease`: remaining ticks of the node's lease. `sighting`: remaining ticks for which the last
    sighting of member 2 is valid. `waited`: ticks since member 2 was paused, None before. `leads`:
    member 2 was promoted. `broken`: names of the violated invariants.
    """

    lease: int = 0
    sighting: int = 0
    waited: int | None = None
    leads: bool = False
    broken: frozenset[str] = frozenset()


def steps(state: State, mutation: str) -> Iterator[Step]:
    """Yield the steps that are possible in a state."""
    yield "time passes", _after_a_tick(state)
    if state.waited is None:
        yield "the node sees 2 unpaused", state._replace(sighting=SIGHTING_TICKS)
        yield "2 is paused", state._replace(waited=0)
    if state.sighting or mutation == "believe_one_member":
        yield "1 confirms the lease", state._replace(lease=LEASE_TICKS)
    if state.waited is not None and state.waited >= _wait(mutation):
        yield "2 is promoted", state._replace(leads=True)
    if state.lease and state.leads:
        broken = state.broken | {"one_leader_acknowledges"}
        yield "the node writes at the former leader", state._replace(broken=broken)


def _after_a_tick(state: State) -> State:
    longest = LEASE_TICKS + SIGHTING_TICKS
    return state._replace(
        lease=max(0, state.lease - 1),
        sighting=max(0, state.sighting - 1),
        waited=None if state.waited is None else min(longest, state.waited + 1),
    )


def _wait(mutation: str) -> int:
    return LEASE_TICKS if mutation == "wait_for_leases_only" else LEASE_TICKS + SIGHTING_TICKS


IGNORED_MEMBER = Model(
    name="a change that ignores a member which still runs",
    bounds=f"3 members, leases of {LEASE_TICKS} ticks, sightings of {SIGHTING_TICKS}",
    initial=State(),
    steps=steps,
    invariants={"one_leader_acknowledges": is_kept("one_leader_acknowledges")},
    mutations={
        "believe_one_member": "one_leader_acknowledges",
        "wait_for_leases_only": "one_leader_acknowledges",
    },
)
