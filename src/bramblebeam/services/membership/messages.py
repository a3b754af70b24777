"""What other services of a node tell the membership service."""

from dataclasses import dataclass

from bramblebeam.core.identity import Address, NodeId, ZoneId


@dataclass(frozen=True, slots=True)
class HintedMachine:
    """A machine that the platform lists. The list lags: it may be gone, or listed late."""

    node: NodeId
    zone: ZoneId
    address: Address
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class MachineHint:
    """The platform's list of machines: places to join through. Replaces the last one."""

    machines: tuple[HintedMachine, ...]


@dataclass(frozen=True, slots=True)
class LeaveRequest:
    """Mark this node as leaving: it gets no new ownership. Answered when peers were told."""


@dataclass(frozen=True, slots=True)
class MembersRequest:
    """Ask for the view in force; the answer is a `MembersView`."""
