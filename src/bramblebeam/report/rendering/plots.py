"""Draws the plots of a report with matplotlib; no display is needed."""

from collections import Counter
from collections.abc import Callable, Sequence
from io import BytesIO
from typing import Any, NamedTuple

from matplotlib.figure import Figure

from bramblebeam.report.model import NodeStart, RunReport, SecondCount

SIZE_INCHES = (11.0, 3.2)
DOTS_PER_INCH = 110
CHANGE_COLOUR = "#b55d60"
MAX_KEYS = 8
"""Keys with a colour of their own; the rest is drawn as OTHERS."""
OTHERS = "others"


class Plot(NamedTuple):
    """A plot as a PNG, with its title."""

    title: str
    png: bytes


def draw_plots(report: RunReport) -> list[Plot]:
    """Draw every plot that the report has data for."""
    plots = []
    if report.refused_by_second:
        draw = _bar_plot(report, report.refused_by_second, "refused statements")
        plots.append(Plot("Refused statements by second", _png(draw)))
    if report.attempts_by_second:
        draw = _bar_plot(report, report.attempts_by_second, "failed attempts")
        plots.append(Plot("Attempts in vain by second", _png(draw)))
    if report.starts:
        plots.append(Plot("Starts of nodes", _png(lambda axes: _draw_starts(axes, report.starts))))
    return plots


def _png(draw: Callable[[Any], None]) -> bytes:
    figure = Figure(figsize=SIZE_INCHES, dpi=DOTS_PER_INCH, layout="constrained")
    axes = figure.subplots()
    draw(axes)
    axes.grid(alpha=0.3)
    if axes.get_legend_handles_labels()[0]:
        axes.legend(loc="upper left", bbox_to_anchor=(1.0, 1.0), fontsize=8)
    file = BytesIO()
    figure.savefig(file, format="png")
    return file.getvalue()


def _bar_plot(
    report: RunReport, seconds: Sequence[SecondCount], label: str
) -> Callable[[Any], None]:
    def draw(axes: Any) -> None:
        _draw_bars(axes, report, seconds)
        _draw_changes(axes, report)
        axes.set_xlim(min(0.0, seconds[0].at), max(report.seconds, 1.0))
        axes.set_xlabel("seconds since the first log line")
        axes.set_ylabel(label)

    return draw


def _draw_bars(axes: Any, report: RunReport, seconds: Sequence[SecondCount]) -> None:
    """Draw stacked bars of the most frequent keys; the other keys are summed as one."""
    totals: Counter[str] = Counter()
    for second in seconds:
        totals[second.key] += second.times
    frequent = [key for key, _ in totals.most_common(MAX_KEYS)]
    heights: dict[str, Counter[float]] = {}
    for second in seconds:
        key = second.key if second.key in frequent else OTHERS
        heights.setdefault(key, Counter())[second.at] += second.times
    positions = sorted({second.at for second in seconds})
    bottoms = [0] * len(positions)
    for key in sorted(heights):
        bars = [heights[key][position] for position in positions]
        axes.bar(
            positions, bars, report.bin_seconds, bottom=bottoms, align="edge", label=_label(key)
        )
        bottoms = [below + height for below, height in zip(bottoms, bars, strict=True)]


def _draw_changes(axes: Any, report: RunReport) -> None:
    for change in report.changes:
        begin = change.at - (change.gap_ms or 0.0) / 1000
        axes.axvspan(begin, change.at, color=CHANGE_COLOUR, alpha=0.3, linewidth=0)
        axes.axvline(change.at, color=CHANGE_COLOUR, linewidth=0.8)
    if report.changes:
        axes.axvspan(0, 0, color=CHANGE_COLOUR, alpha=0.3, label="gap of a leader change")


def _draw_starts(axes: Any, starts: Sequence[NodeStart]) -> None:
    """Draw, for each milestone of a start, how many starts had reached it by which time."""
    milestones = (
        ("connections are accepted", [start.accepting_seconds for start in starts]),
        ("ready", [start.ready_seconds for start in starts]),
        ("first leader proven", [start.leader_seconds for start in starts]),
    )
    for label, values in milestones:
        seconds = sorted(value for value in values if value is not None)
        counts = range(1, len(seconds) + 1)
        axes.step(seconds, counts, where="post", marker=".", label=label)
    axes.set_xlabel("seconds after a node's start")
    axes.set_ylim(bottom=0)
    axes.set_ylabel("starts")


def _label(key: str) -> str:
    """Return a key as a legend label.

    matplotlib hides labels that begin with "_" and reads text between "$" as a formula.
    """
    shown = "".join(char for char in key if char.isprintable() and char != "$")
    return shown.lstrip("_") or OTHERS
