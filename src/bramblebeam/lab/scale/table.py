"""Tables of measured points, and the law that each cost follows."""

import json
from collections.abc import Iterable, Sequence
from pathlib import Path
from statistics import median
from typing import Any

from bramblebeam.lab.scale.fit import fit

LETTER_NODES = 5_200

COLUMNS: dict[str, str] = {
    "cpu_percent": "% of a core",
    "octets_both_mean": "B/s",
    "octets_both_busiest": "B/s",
    "messages_both_mean": "messages/s",
    "rss_megabytes": "MB",
    "join_seconds": "s",
    "edit_seconds": "s",
    "death_seconds": "s",
    "octets_mean": "B/s",
    "octets_busiest": "B/s",
    "octets_relay_mean": "B/s",
    "messages_mean": "messages/s",
    "zone_lost_seconds": "s",
    "region_cut_seconds": "s",
    "region_healed_seconds": "s",
}
"""What is tabled, where a result has it, with its unit. Of lists the median is taken."""


def load_results(files: Iterable[Path]) -> list[dict[str, Any]]:
    """Read results, one JSON object a line, sorted by their number of nodes."""
    lines = [line for file in files for line in file.read_text().splitlines() if line.strip()]
    return sorted((json.loads(line) for line in lines), key=lambda result: int(result["nodes"]))


def points_table(results: Sequence[dict[str, Any]]) -> str:
    """Return a Markdown table: a row a cost, a column a size, then its law and its value at 5,200.

    Results are all of one kind. The law needs three points or more.
    """
    sizes = [int(result["nodes"]) for result in results]
    names = [name for name in COLUMNS if all(name in result for result in results)]
    header = ["cost", *(f"{size:,}" for size in sizes), "law", f"at {LETTER_NODES:,}"]
    rows = [header, ["---"] * len(header)]
    rows += [_row(name, sizes, [_value(result[name]) for result in results]) for name in names]
    return "\n".join("| " + " | ".join(row) + " |" for row in rows)


def _row(name: str, sizes: Sequence[int], values: Sequence[float]) -> list[str]:
    unit = COLUMNS[name]
    cells = [f"{name} ({unit})", *(f"{value:.3g}" for value in values)]
    if len(sizes) < 3:
        return [*cells, "too few points", ""]
    law = fit(sizes, values)
    return [*cells, law.text(unit), f"{law.at(LETTER_NODES):.3g}"]


def _value(value: Any) -> float:
    return float(median(value) if isinstance(value, list) else value)
