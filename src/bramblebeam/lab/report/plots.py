"""Plots of a run, drawn by matplotlib without a display."""

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from matplotlib.figure import Figure

from bramblebeam.lab.result import FaultSpan, RunResult

WIDTH_INCHES = 11.0
PLOT_INCHES = 3.0
INCHES_PER_LANE = 0.16
DOTS_PER_INCH = 110
FAULT_COLOUR = "#b55d60"
LABEL_GAP_SECONDS = 0.2
MIN_SPAN_SECONDS = 0.3

Draw = Callable[[Any, RunResult], None]


def draw_plots(result: RunResult, directory: Path) -> list[tuple[str, Path]]:
    """Draw every plot that the result has data for; return the titles and PNG files."""
    drawn = []
    for name, (title, has_figures, draw) in PLOTS.items():
        if not has_figures(result):
            continue
        path = directory / f"{name}.png"
        _draw_one(result, draw, path)
        drawn.append((title, path))
    return drawn


def _draw_one(result: RunResult, draw: Draw, path: Path) -> None:
    lanes = max(1, len(result.faults))
    strip_inches = INCHES_PER_LANE * lanes
    size = (WIDTH_INCHES, PLOT_INCHES + strip_inches)
    figure = Figure(figsize=size, dpi=DOTS_PER_INCH, layout="constrained")
    top, axes = figure.subplots(2, 1, sharex=True, height_ratios=(strip_inches, PLOT_INCHES))
    _draw_faults(top, result.faults)
    draw(axes, result)
    for fault in result.faults:
        axes.axvline(fault.begin, color=FAULT_COLOUR, alpha=0.35, linewidth=0.8)
    axes.set_xlim(0, max(result.duration_seconds, 1.0))
    axes.set_xlabel("seconds since the start of the load")
    axes.grid(alpha=0.3)
    axes.legend(loc="upper left", fontsize=8)
    figure.savefig(path)


def _draw_faults(axes: Any, faults: Sequence[FaultSpan]) -> None:
    """Draw one labelled bar per fault, each in a lane of its own."""
    for lane, fault in enumerate(faults):
        end = max(fault.end or fault.begin, fault.begin + MIN_SPAN_SECONDS)
        axes.barh(lane, end - fault.begin, left=fault.begin, height=0.7, color=FAULT_COLOUR)
        label = f"{fault.kind} {fault.target}".strip()
        is_late = fault.begin > faults[-1].begin / 2
        label_x = fault.begin - LABEL_GAP_SECONDS if is_late else end + LABEL_GAP_SECONDS
        side = "right" if is_late else "left"
        axes.text(label_x, lane, label, fontsize=7, va="center", ha=side)
    axes.invert_yaxis()
    axes.set_yticks([])
    axes.set_title("faults", fontsize=8, loc="left")


def _latency(axes: Any, result: RunResult) -> None:
    bins = [item for item in result.bins if item.p50_ms is not None]
    starts = [item.start for item in bins]
    axes.plot(starts, [item.p99_ms for item in bins], color="#ff7f0e", label="p99")
    axes.plot(starts, [item.p50_ms for item in bins], color="#1f77b4", label="p50")
    axes.set_yscale("log")
    axes.set_ylabel("latency (ms)")


def _load(axes: Any, result: RunResult) -> None:
    starts = [item.start for item in result.bins]
    axes.step(starts, [item.requests for item in result.bins], color="#1f77b4", label="requests")
    axes.step(starts, [item.errors for item in result.bins], color="#d62728", label="errors")
    axes.set_ylabel("per half second")


def _read_share(axes: Any, result: RunResult) -> None:
    bins = [item for item in result.bins if item.replica_read_share is not None]
    shares = [100 * (item.replica_read_share or 0.0) for item in bins]
    axes.plot([item.start for item in bins], shares, color="#2ca02c", label="replica reads")
    axes.set_ylim(0, 105)
    axes.set_ylabel("reads at replicas (%)")


def _in_force(axes: Any, result: RunResult) -> None:
    for edit in result.edits:
        times = list(edit.delays_ms.values())
        if times:
            axes.plot([edit.at] * len(times), times, "o", color="#1f77b4", markersize=3)
            axes.plot([edit.at], [max(times)], "^", color="#d62728", markersize=5)
    axes.plot([], [], "o", color="#1f77b4", label="a node")
    axes.plot([], [], "^", color="#d62728", label="the slowest node")
    axes.set_ylabel("time to in force (ms)")
    axes.set_yscale("symlog", linthresh=10)


PLOTS: dict[str, tuple[str, Callable[[RunResult], bool], Draw]] = {
    "latency": ("Latency from the intended time", lambda result: bool(result.bins), _latency),
    "load": ("Requests and errors", lambda result: bool(result.bins), _load),
    "read_share": (
        "Share of reads served by replicas",
        lambda result: any(item.replica_read_share is not None for item in result.bins),
        _read_share,
    ),
    "in_force": (
        "Time from sending an edit until each node has it in force",
        lambda result: any(edit.delays_ms for edit in result.edits),
        _in_force,
    ),
}
