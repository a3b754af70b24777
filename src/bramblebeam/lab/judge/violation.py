"""The violation that a judge reports."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of an invariant, with the records that show it."""

    invariant: str
    detail: str
    records: tuple[Any, ...]
