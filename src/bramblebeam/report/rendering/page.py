"""A report as one page with its plots inside."""

from bramblebeam.pages.html import document, heading, image, paragraph, table
from bramblebeam.report.model import RunReport
from bramblebeam.report.rendering.plots import draw_plots
from bramblebeam.report.rendering.tables import Table, tables_of

MAXIMUM_ROWS = 500


def page_of(report: RunReport) -> str:
    """Return the page as HTML."""
    first, *others = tables_of(report)
    plots = [heading(plot.title) + image(plot.png) for plot in draw_plots(report)]
    parts = [_section(first), *plots, *(_section(other) for other in others)]
    return document(f"Report over a run from {report.begins}", parts)


def _section(drawn: Table) -> str:
    shown = table(drawn.columns, drawn.rows[:MAXIMUM_ROWS])
    more = len(drawn.rows) - MAXIMUM_ROWS
    note = paragraph(drawn.note) if drawn.note else ""
    rest = paragraph(f"{more} more rows: --json has all") if more > 0 else ""
    return heading(drawn.title) + note + shown + rest
