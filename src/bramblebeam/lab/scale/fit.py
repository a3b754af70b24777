"""How a cost grows with the number of nodes: flat, log, linear, or falling to a floor."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

FLAT_SHARE = 0.10
"""A cost whose points all lie within this share of their mean counts as flat."""

_TERM_TEXTS = {"log": "log2 N", "linear": "N", "falling": "/ N"}


@dataclass(frozen=True, slots=True)
class Fit:
    """`cost = base + slope * f(N)`, with f 0 (flat), log2, N (linear), 1/N (falling)."""

    law: str
    base: float
    slope: float
    residual: float
    """Root of the mean square of what the law does not explain, in the cost's unit."""

    def at(self, nodes: int) -> float:
        """Return the cost by the law."""
        return self.base + self.slope * float(_terms(self.law, [nodes])[0])

    def text(self, unit: str) -> str:
        """Return the law for people."""
        if self.law == "flat":
            return f"flat, {self.base:.3g} {unit}"
        return f"{self.law}, {self.base:.3g} + {self.slope:.3g} {_TERM_TEXTS[self.law]} {unit}"


def fit(nodes: Sequence[int], costs: Sequence[float]) -> Fit:
    """Return the simplest law that explains the points. Raises ValueError below three points."""
    if len(nodes) < 3:
        raise ValueError("a law needs three points or more")
    middle = float(np.mean(costs))
    flat = Fit("flat", middle, 0.0, float(np.std(costs)))
    if np.max(np.abs(np.asarray(costs) - middle)) <= FLAT_SHARE * middle:
        return flat
    return min((_fit_law(law, nodes, costs) for law in _TERM_TEXTS), key=_residual)


def _fit_law(law: str, nodes: Sequence[int], costs: Sequence[float]) -> Fit:
    terms = _terms(law, nodes)
    slope, base = np.polyfit(terms, np.asarray(costs), 1)
    rest = np.asarray(costs) - (base + slope * terms)
    return Fit(law, float(base), float(slope), float(np.sqrt(np.mean(rest**2))))


def _terms(law: str, nodes: Sequence[int]) -> "np.ndarray[tuple[int, ...], np.dtype[np.float64]]":
    count = np.asarray(nodes, dtype=np.float64)
    if law == "log":
        return np.log2(count)
    if law == "falling":
        return 1 / count
    return count if law == "linear" else np.zeros_like(count)


def _residual(found: Fit) -> float:
    return found.residual
