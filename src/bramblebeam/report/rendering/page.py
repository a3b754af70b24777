"""Renders a report as one HTML page with embedded plots."""

from bramblebeam.pages.html import document, heading, image, paragraph, table
from bramblebeam.report.model import RunReport
from bramblebeam.report.rendering.plots import draw_plots
from bramblebeam.report.rendering.tables import Table, build_tables

MAXIMUM_ROWS = 500
"""Per table."""


def render_page(report: RunReport) -> str:
    """Return the HTML of the page: summary, plots, other tables."""
    first, *others = build_tables(report)
    plots = [heading(plot.title) + image(plot.png) for plot in draw_plots(report)]
    parts = [_section(first), *plots, *(_section(other) for other in others)]
    return document(f"Report over a run from {report.begins}", parts)


def _section(content: Table) -> str:
    rows = table(content.columns, content.rows[:MAXIMUM_ROWS])
    more = len(content.rows) - MAXIMUM_ROWS
    note = paragraph(content.note) if content.note else ""
    remainder = paragraph(f"{more} more rows: use --json to see all") if more > 0 else ""
    return heading(content.title) + note + rows + remainder
