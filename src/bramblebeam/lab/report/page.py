"""HTML report of one run: figures, faults, violations and plots in a single file."""

import tempfile
from collections.abc import Sequence
from pathlib import Path

from bramblebeam.lab.report.plots import draw_plots
from bramblebeam.lab.report.summary import formatted_figures
from bramblebeam.lab.result import RunResult
from bramblebeam.pages.html import Cell, bullets, document, heading, image, table


def write_report(result: RunResult, page: Path) -> None:
    """Write the report of a run. Plots are embedded, so that the file can be shared alone."""
    with tempfile.TemporaryDirectory() as directory:
        plots = draw_plots(result, Path(directory))
        images = [heading(title) + image(path.read_bytes()) for title, path in plots]
    parts = [
        _two_column_table("Figure", "Value", formatted_figures(result)),
        heading("Invariants"),
        _invariants(result),
        *images,
        heading("Faults"),
        _two_column_table("Fault", "Seconds", _faults(result)),
        _bullet_section("Violations", result.violations),
        _bullet_section("Faults that this mode does not inject", result.faults_not_injected),
    ]
    title = f"{result.scenario}, seed {result.seed}, {result.mode}"
    page.write_text(document(title, parts), encoding="utf-8")


def _two_column_table(name: str, value: str, rows: Sequence[tuple[str, str]]) -> str:
    return table((name, value), [(Cell(key), Cell(text, is_numeric=True)) for key, text in rows])


def _invariants(result: RunResult) -> str:
    rows = []
    for name, count in result.invariant_violations.items():
        examined = Cell(str(result.examined.get(name, 0)), is_numeric=True)
        violated = Cell(str(count), is_numeric=True, is_bad=count > 0)
        rows.append((Cell(name), examined, violated))
    return table(("Invariant", "Observations", "Violations"), rows)


def _faults(result: RunResult) -> list[tuple[str, str]]:
    rows = []
    for fault in result.faults:
        end = "" if fault.end is None else f" to {fault.end:.1f}"
        rows.append((f"{fault.kind} {fault.target}", f"{fault.begin:.1f}{end}"))
    return rows


def _bullet_section(title: str, items: Sequence[str]) -> str:
    return heading(title) + bullets(items) if items else ""
