"""The statements by which a database group is commanded."""

from collections.abc import Iterable

from bramblebeam.core.identity import InstanceSpec


def promise(term: int) -> str:
    """Return the statement that promises a term."""
    return f"CALL bramblebeam.promise({term})"


def promote(term: int, members: Iterable[InstanceSpec]) -> str:
    """Return the statement that makes its receiver the primary of a term."""
    listed = ",".join(_endpoint(member) for member in members)
    return f"CALL bramblebeam.promote({term}, '{listed}')"


def follow(term: int, primary: InstanceSpec) -> str:
    """Return the statement that makes its receiver follow the primary of a term."""
    return f"CALL bramblebeam.follow({term}, '{_endpoint(primary)}')"


def pause_writes(milliseconds: int) -> str:
    """Return the statement that has a primary hold new writes back (0: let them go on)."""
    return f"CALL bramblebeam.pause_writes({milliseconds})"


def _endpoint(member: InstanceSpec) -> str:
    return f"{member.instance}={member.address.host}:{member.address.port}"
