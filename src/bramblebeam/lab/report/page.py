"""The page of one run: figures, faults, violations and plots in a single HTML file."""

import base64
import html
import tempfile
from collections.abc import Iterable, Sequence
from pathlib import Path

from bramblebeam.lab.report.plots import draw_plots
from bramblebeam.lab.report.summary import figures_of
from bramblebeam.lab.result import RunResult

_STYLE = """
body { font-family: system-ui, sans-serif; max-width: 76rem; margin: 2rem auto; color: #222; }
table { border-collapse: collapse; margin: 1rem 0; }
td, th { padding: 0.25rem 0.9rem; text-align: left; border-bottom: 1px solid #ddd; }
td.figure { text-align: right; font-variant-numeric: tabular-nums; }
.bad { color: #b00; font-weight: bold; }
img { width: 100%; }
"""


def write_report(result: RunResult, page: Path) -> None:
    """Write the page of a run. The plots are inside, so that the one file can be sent on."""
    with tempfile.TemporaryDirectory() as directory:
        plots = draw_plots(result, Path(directory))
        images = [(title, _embedded(path)) for title, path in plots]
    title = html.escape(f"{result.scenario}, seed {result.seed}, {result.mode}")
    parts = [
        f"<!doctype html><meta charset='utf-8'><title>{title}</title><style>{_STYLE}</style>",
        f"<h1>{title}</h1>",
        _table("Figure", "Value", figures_of(result)),
        "<h2>Invariants</h2>",
        _invariants(result),
        *(f"<h2>{html.escape(name)}</h2><img alt='' src='{image}'>" for name, image in images),
        "<h2>Faults</h2>",
        _table("Fault", "Seconds", _faults(result)),
        _list("Violations", result.violations),
        _list("Faults that this mode does not inject", result.faults_not_injected),
    ]
    page.write_text("\n".join(part for part in parts if part), encoding="utf-8")


def _embedded(path: Path) -> str:
    return "data:image/png;base64," + base64.b64encode(path.read_bytes()).decode()


def _table(name: str, value: str, rows: Iterable[tuple[str, str]]) -> str:
    lines = [f"<tr><th>{name}</th><th>{value}</th></tr>"]
    for key, text in rows:
        lines.append(
            f"<tr><td>{html.escape(key)}</td><td class='figure'>{html.escape(text)}</td></tr>"
        )
    return "<table>" + "".join(lines) + "</table>"


def _invariants(result: RunResult) -> str:
    lines = ["<tr><th>Invariant</th><th>Observations</th><th>Violations</th></tr>"]
    for name, count in result.invariant_violations.items():
        style = " bad" if count else ""
        lines.append(
            f"<tr><td>{html.escape(name)}</td>"
            f"<td class='figure'>{result.examined.get(name, 0)}</td>"
            f"<td class='figure{style}'>{count}</td></tr>"
        )
    return "<table>" + "".join(lines) + "</table>"


def _faults(result: RunResult) -> list[tuple[str, str]]:
    rows = []
    for fault in result.faults:
        end = "" if fault.end is None else f" to {fault.end:.1f}"
        rows.append((f"{fault.kind} {fault.target}", f"{fault.begin:.1f}{end}"))
    return rows


def _list(title: str, items: Sequence[str]) -> str:
    if not items:
        return ""
    lines = "".join(f"<li>{html.escape(item)}</li>" for item in items)
    return f"<h2>{title}</h2><ul>{lines}</ul>"
