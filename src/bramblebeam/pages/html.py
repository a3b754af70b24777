"""Pieces of a self-contained HTML page. Every text is escaped here."""

import base64
import html
from collections.abc import Iterable, Sequence
from typing import NamedTuple

STYLE = """
body { font-family: system-ui, sans-serif; max-width: 76rem; margin: 2rem auto; color: #222; }
table { border-collapse: collapse; margin: 1rem 0; }
td, th { padding: 0.25rem 0.9rem; text-align: left; border-bottom: 1px solid #ddd; }
td.figure { text-align: right; font-variant-numeric: tabular-nums; }
.bad { color: #b00; font-weight: bold; }
img { width: 100%; }
"""


class Cell(NamedTuple):
    """One cell of a table."""

    text: str
    is_numeric: bool = False
    is_bad: bool = False


def document(title: str, parts: Iterable[str]) -> str:
    """Return a whole page of parts that are HTML already; empty ones are left out."""
    shown = html.escape(title)
    head = f"<!doctype html><meta charset='utf-8'><title>{shown}</title><style>{STYLE}</style>"
    return "\n".join([head, f"<h1>{shown}</h1>", *(part for part in parts if part)])


def heading(text: str) -> str:
    """Return the title of a section."""
    return f"<h2>{html.escape(text)}</h2>"


def paragraph(text: str) -> str:
    """Return a paragraph."""
    return f"<p>{html.escape(text)}</p>"


def table(columns: Sequence[str], rows: Iterable[Sequence[Cell]]) -> str:
    """Return a table."""
    head = "".join(f"<th>{html.escape(column)}</th>" for column in columns)
    lines = [f"<tr>{head}</tr>"]
    for row in rows:
        cells = "".join(_cell(cell) for cell in row)
        lines.append(f"<tr>{cells}</tr>")
    return "<table>" + "".join(lines) + "</table>"


def bullets(items: Sequence[str]) -> str:
    """Return a list."""
    return "<ul>" + "".join(f"<li>{html.escape(item)}</li>" for item in items) + "</ul>"


def image(png: bytes) -> str:
    """Return a picture that is inside the page, so that the one file can be sent on."""
    return f"<img alt='' src='data:image/png;base64,{base64.b64encode(png).decode()}'>"


def _cell(cell: Cell) -> str:
    names = [name for name, is_so in (("figure", cell.is_figure), ("bad", cell.is_bad)) if is_so]
    style = f" class='{' '.join(names)}'" if names else ""
    return f"<td{style}>{html.escape(cell.text)}</td>"
