"""Reports of runs: an HTML page of one run with plots, and a comparison of two runs."""

from bramblebeam.lab.report.compare import compare_text
from bramblebeam.lab.report.page import write_report

__all__ = ["compare_text", "write_report"]
