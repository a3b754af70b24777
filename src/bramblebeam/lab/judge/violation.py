"""What a judge reports."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Violation:
    """One invariant broken once, with the records that show it."""

    invariant: str
    detail: str
    records: tuple[Any, ...]
