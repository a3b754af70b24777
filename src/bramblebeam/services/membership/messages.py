"""Messages from a node's other services to its membership service."""

from dataclasses import dataclass

from bramblebeam.core.identity import Address, NodeId, ZoneId


@dataclass(frozen=True, slots=True)
class HintedMachine:
    """A machine in the platform's list. The list lags: a machine may be gone or not listed yet."""

    node: NodeId
    zone: ZoneId
    address: Address
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class MachineHint:
    """The platform's list of machines, used as seeds for joining. Replaces the previous list."""

    machines: tuple[HintedMachine, ...]


@dataclass(frozen=True, slots=True)
class LeaveRequest:
    """Mark this node as leaving: it gets no new ownership. Answered after peers were notified."""


@dataclass(frozen=True, slots=True)
class MembersRequest:
    """Request the current view; the answer is a `MembersView`."""
