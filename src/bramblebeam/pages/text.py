"""Figures as text."""

NOT_MEASURED = "not measured"


def share(value: float | None) -> str:
    """Return a share as per cent."""
    return NOT_MEASURED if value is None else f"{100 * value:.2f}%"


def number(value: float | None) -> str:
    """Return a figure with a sensible number of digits."""
    if value is None:
        return NOT_MEASURED
    return f"{value:.0f}" if abs(value) >= 100 else f"{value:.2f}"
