"""Messages that any service may receive."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BoundAddressRequest:
    """Requests the bound address of a listening service; the answer is an `Address`."""
