"""SQL statements that control the members of a database group."""

from collections.abc import Iterable

from bramblebeam.core.identity import InstanceSpec


def promise(term: int) -> str:
    """Return the statement by which a member promises a term."""
    return f"CALL bramblebeam.promise({term})"


def promote(term: int, members: Iterable[InstanceSpec]) -> str:
    """Return the statement that makes a member the primary of a term."""
    listed = ",".join(_endpoint(member) for member in members)
    return f"CALL bramblebeam.promote({term}, '{listed}')"


def follow(term: int, primary: InstanceSpec) -> str:
    """Return the statement that makes a member follow the primary of a term."""
    return f"CALL bramblebeam.follow({term}, '{_endpoint(primary)}')"


def pause_writes(milliseconds: int) -> str:
    """Return the statement that makes a primary delay new writes (0: stop delaying them)."""
    return f"CALL bramblebeam.pause_writes({milliseconds})"


def _endpoint(member: InstanceSpec) -> str:
    return f"{member.instance}={member.address.host}:{member.address.port}"
