"""Parses counters from scraped metrics texts."""

import re
from pathlib import Path
from typing import NamedTuple

from bramblebeam.report.reading.files import UnreadableError, read_lines

OWN_PREFIX = "bramblebeam_"
MAXIMUM_SERIES = 20_000
"""Per file; a node exports a few hundred."""
_SAMPLE = re.compile(r"([a-zA-Z_:][\w:]*)(?:\{([^}]*)\})?\s+(\S+)(?:\s+\S+)?\s*")
_LABEL = re.compile(r'(\w+)="((?:[^"\\]|\\.)*)"')


class Series(NamedTuple):
    """Identity of a time series: its metric name and its (name, value) label pairs."""

    name: str
    labels: tuple[tuple[str, str], ...] = ()

    def label(self, name: str) -> str:
        """Return a label's value; "?" if the series lacks it."""
        return dict(self.labels).get(name, "?")


class MetricsText(NamedTuple):
    """The counters of one file after its last scrape."""

    source: str
    counters: dict[Series, float]
    passed_over: int


class _RestartableCounter:
    """Total of a counter over the scrapes of one file.

    A decrease means that the node restarted and its counter began again from zero.
    """

    def __init__(self) -> None:
        self._before_restarts = 0.0
        self._latest = 0.0

    def observe(self, value: float) -> None:
        if value < self._latest:
            self._before_restarts += self._latest
        self._latest = value

    @property
    def total(self) -> float:
        return self._before_restarts + self._latest


def read_metrics(path: Path) -> MetricsText:
    """Read one node's file, which holds one or several scrapes in turn. Raises UnreadableError."""
    counters: dict[Series, _RestartableCounter] = {}
    passed_over = 0
    for line in read_lines(path):
        if line.startswith("#") or not line.strip():
            continue
        sample = _sample(line)
        if sample is None or len(counters) >= MAXIMUM_SERIES:
            passed_over += 1
            continue
        series, value = sample
        if series.name.startswith(OWN_PREFIX):
            counters.setdefault(series, _RestartableCounter()).observe(value)
    if not counters:
        raise UnreadableError(f"{path}: no bramblebeam metrics in this file")
    totals = {series: counter.total for series, counter in counters.items()}
    return MetricsText(path.name, totals, passed_over)


def parse_metrics(text: str) -> dict[Series, float]:
    """Return the samples of one scrape; lines that are not samples are skipped."""
    samples = (_sample(line) for line in text.splitlines() if not line.startswith("#"))
    return dict(sample for sample in samples if sample is not None)


def _sample(line: str) -> tuple[Series, float] | None:
    match = _SAMPLE.fullmatch(line)
    if match is None:
        return None
    name, labels, text = match.groups()
    try:
        value = float(text)
    except ValueError:
        return None
    return Series(name, tuple(sorted(_LABEL.findall(labels or "")))), value
