"""Formats numbers for people."""

NOT_MEASURED = "not measured"


def format_percentage(value: float | None) -> str:
    """Return a fraction as a percentage."""
    return NOT_MEASURED if value is None else f"{100 * value:.2f}%"


def format_number(value: float | None) -> str:
    """Return a number with two decimals, or with none from 100 on."""
    if value is None:
        return NOT_MEASURED
    return f"{value:.0f}" if abs(value) >= 100 else f"{value:.2f}"
