"""Builds self-contained HTML pages. Texts are escaped here, so callers pass them as they are."""

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
    """A table cell. Numeric cells are aligned right, bad ones are highlighted."""

    text: str
    is_numeric: bool = False
    is_bad: bool = False


def document(title: str, parts: Iterable[str]) -> str:
    """Return a page. `parts` are HTML already and are not escaped; empty ones are left out."""
    escaped = html.escape(title)
    head = f"<!doctype html><meta charset='utf-8'><title>{escaped}</title><style>{STYLE}</style>"
    return "\n".join([head, f"<h1>{escaped}</h1>", *(part for part in parts if part)])


def heading(text: str) -> str:
    """Return a section heading."""
    return f"<h2>{html.escape(text)}</h2>"


def paragraph(text: str) -> str:
    """Return a paragraph."""
    return f"<p>{html.escape(text)}</p>"


def table(columns: Sequence[str], rows: Iterable[Sequence[Cell]]) -> str:
    """Return a table with a header row."""
    head = "".join(f"<th>{html.escape(column)}</th>" for column in columns)
    row_tags = [f"<tr>{head}</tr>"]
    for row in rows:
        cells = "".join(_cell(cell) for cell in row)
        row_tags.append(f"<tr>{cells}</tr>")
    return "<table>" + "".join(row_tags) + "</table>"


def bullets(items: Sequence[str]) -> str:
    """Return a bulleted list."""
    return "<ul>" + "".join(f"<li>{html.escape(item)}</li>" for item in items) + "</ul>"


def image(png: bytes) -> str:
    """Return an image embedded as a data URI, so that the page stays a single file."""
    return f"<img alt='' src='data:image/png;base64,{base64.b64encode(png).decode()}'>"


def _cell(cell: Cell) -> str:
    classes = [
        name for name, applies in (("figure", cell.is_numeric), ("bad", cell.is_bad)) if applies
    ]
    attribute = f" class='{' '.join(classes)}'" if classes else ""
    return f"<td{attribute}>{html.escape(cell.text)}</td>"
