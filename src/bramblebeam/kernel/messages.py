"""Messages that any service may be asked."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BoundAddressRequest:
    """Ask a service that listens for its address; the answer is an `Address`."""
