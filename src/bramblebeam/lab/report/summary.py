"""Figures of a run as text, shared by the HTML report, the comparison and the terminal."""

from bramblebeam.lab.result import RunResult
from bramblebeam.pages.text import NOT_MEASURED, format_number, format_percentage


def formatted_figures(result: RunResult) -> list[tuple[str, str]]:
    """Return the label with unit and the formatted value of each figure of a run."""
    gaps = ", ".join(f"{gap:.0f}" for gap in result.failover_gap_ms) or NOT_MEASURED
    errors = result.errors
    in_force = result.config_in_force_ms
    latency = result.latency_ms
    return [
        ("statements", str(result.statements)),
        ("nodes", str(result.nodes)),
        ("moves of sessions between nodes", str(result.moves)),
        ("violations of invariants", str(result.violated)),
        ("reads served by replicas", format_percentage(result.replica_read_share)),
        ("failover gap (ms)", gaps),
        ("edit in force, p50 (ms)", format_number(in_force.p50)),
        ("edit in force, p99 (ms)", format_number(in_force.p99)),
        ("edit in force, slowest (ms)", format_number(in_force.max)),
        ("latency, p50 (ms)", format_number(latency.p50)),
        ("latency, p99 (ms)", format_number(latency.p99)),
        ("errors: not run", str(errors.not_run)),
        ("errors: ran", str(errors.ran)),
        ("errors: may have run", str(errors.unknown)),
        ("errors: connection lost", str(errors.lost)),
        ("conflicts shown to operators", str(result.conflicts_shown)),
        ("control: CPU a node (%)", format_number(result.control.cpu_percent_per_node)),
        ("control: bytes a second a node", format_number(result.control.bytes_per_second_per_node)),
        ("control: memory a node (MB)", format_number(result.control.rss_mb_per_node)),
    ]
