"""Events and effects of the membership machine, besides those of `core.machine`."""

from collections.abc import MutableSequence, Sequence
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar

from bramblebeam.core.identity import Address, NodeId
from bramblebeam.core.membership.messages import Seed
from bramblebeam.core.membership.view import MembersView

T = TypeVar("T")


class RandomSource(Protocol):
    """The part of `random.Random` that the machine draws from."""

    def random(self) -> float:
        """Return a number from 0 up to 1."""

    def choice(self, seq: Sequence[T]) -> T:
        """Return one item."""

    def sample(self, population: Sequence[T], k: int) -> list[T]:
        """Return `k` different items."""

    def shuffle(self, x: MutableSequence[Any]) -> None:
        """Shuffle in place."""

    def randrange(self, start: int) -> int:
        """Return a whole number from 0 below `start`."""


@dataclass(frozen=True, slots=True)
class DatagramReceived:
    """A datagram came; what answers it goes to its `source`."""

    sender: NodeId
    source: Address
    message: Any


@dataclass(frozen=True, slots=True)
class LeaveStarted:
    """The node stops as planned: it is to get no new ownership."""


@dataclass(frozen=True, slots=True)
class LeaveFinished:
    """The node ends now: tell peers that it is gone."""


@dataclass(frozen=True, slots=True)
class SeedsHinted:
    """Nodes that may be alive, from a list that lags. Replaces earlier hints."""

    seeds: tuple[Seed, ...]


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send one datagram, without a promise that it arrives."""

    to: Address
    message: Any


@dataclass(frozen=True, slots=True)
class Publish:
    """The view changed."""

    view: MembersView
