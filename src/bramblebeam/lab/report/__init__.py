"""Pages about runs: one run with plots, and two runs side by side."""

from bramblebeam.lab.report.compare import compare_text
from bramblebeam.lab.report.page import write_report

__all__ = ["compare_text", "write_report"]
