"""Counters in scraped metrics texts."""

import re
from pathlib import Path
from typing import NamedTuple

from bramblebeam.report.reading.files import UnreadableError, read_lines

OWN_PREFIX = "bramblebeam_"
MAXIMUM_SERIES = 20_000
"""Of one file; a node has some hundreds."""
_SAMPLE = re.compile(r"([a-zA-Z_:][\w:]*)(?:\{([^}]*)\})?\s+(\S+)(?:\s+\S+)?\s*")
_LABEL = re.compile(r'(\w+)="((?:[^"\\]|\\.)*)"')


class Series(NamedTuple):
    """What names one counter: its name, and its labels by their names."""

    name: str
    labels: tuple[tuple[str, str], ...] = ()

    def label(self, name: str) -> str:
        """Return a label; "?" where there is none."""
        return dict(self.labels).get(name, "?")


class MetricsText(NamedTuple):
    """The counters of one file at its end."""

    source: str
    counters: dict[Series, float]
    passed_over: int


class _Count:
    """A counter over the scrapes of one file. One that falls began again, with its node."""

    def __init__(self) -> None:
        self._before = 0.0
        self._latest = 0.0

    def take(self, value: float) -> None:
        if value < self._latest:
            self._before += self._latest
        self._latest = value

    @property
    def total(self) -> float:
        return self._before + self._latest


def read_metrics(path: Path) -> MetricsText:
    """Read one node's texts, one or several scrapes in turn. Raises UnreadableError."""
    counts: dict[Series, _Count] = {}
    passed_over = 0
    for line in read_lines(path):
        if line.startswith("#") or not line.strip():
            continue
        sample = _sample(line)
        if sample is None or len(counts) >= MAXIMUM_SERIES:
            passed_over += 1
            continue
        series, value = sample
        if series.name.startswith(OWN_PREFIX):
            counts.setdefault(series, _Count()).take(value)
    if not counts:
        raise UnreadableError(f"{path}: no figure of ours is in this metrics text")
    totals = {series: count.total for series, count in counts.items()}
    return MetricsText(path.name, totals, passed_over)


def parse_metrics(text: str) -> dict[Series, float]:
    """Return the figures of one scrape; lines that are none are passed over."""
    samples = (_sample(line) for line in text.splitlines() if not line.startswith("#"))
    return dict(sample for sample in samples if sample is not None)


def _sample(line: str) -> tuple[Series, float] | None:
    found = _SAMPLE.fullmatch(line)
    if found is None:
        return None
    name, labels, text = found.groups()
    try:
        value = float(text)
    except ValueError:
        return None
    return Series(name, tuple(sorted(_LABEL.findall(labels or "")))), value
