"""Events and effects of the membership machine, in addition to those of `core.machine`."""

from collections.abc import MutableSequence, Sequence
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar

from bramblebeam.core.identity import Address, NodeId
from bramblebeam.core.membership.messages import Seed
from bramblebeam.core.membership.view import MembersView

T = TypeVar("T")


class RandomSource(Protocol):
    """The methods of `random.Random` that the machine uses."""

    def random(self) -> float:
        """Return a number in [0, 1)."""

    def choice(self, seq: Sequence[T]) -> T:
        """Return a random item."""

    def sample(self, population: Sequence[T], k: int) -> list[T]:
        """Return `k` distinct items."""

    def shuffle(self, x: MutableSequence[Any]) -> None:
        """Shuffle in place."""

    def randrange(self, start: int) -> int:
        """Return an integer in [0, start)."""


@dataclass(frozen=True, slots=True)
class DatagramReceived:
    """A datagram was received; replies go to its `source`."""

    sender: NodeId
    source: Address
    message: Any


@dataclass(frozen=True, slots=True)
class LeaveStarted:
    """The node starts a planned stop: it must not acquire further ownership."""


@dataclass(frozen=True, slots=True)
class LeaveFinished:
    """The node terminates now: announce its leave to peers."""


@dataclass(frozen=True, slots=True)
class SeedsHinted:
    """Nodes that may be alive, from a possibly outdated list. Replaces earlier hints."""

    seeds: tuple[Seed, ...]


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send a datagram; delivery is not guaranteed."""

    to: Address
    message: Any


@dataclass(frozen=True, slots=True)
class Publish:
    """Publish a changed view."""

    view: MembersView
