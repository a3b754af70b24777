"""What a scale run measured, for each node."""

from collections import defaultdict
from dataclasses import dataclass, field
from statistics import mean, median
from typing import Any

MEGABYTE = 1_000_000


@dataclass(frozen=True, slots=True)
class MessageRate:
    """One type of message: messages and bytes a second, mean over all nodes."""

    messages: float
    octets: float


@dataclass(frozen=True, slots=True)
class ScaleMeasures:
    """Means over all nodes in a window without changes, and times of events (seconds).

    `octets_*`: bytes a second sent and received together. `busiest`: the node with the most.
    """

    nodes: int
    processes: int
    cpu_percent: float
    octets_sent: float
    octets_both_mean: float
    octets_both_busiest: float
    messages_both_mean: float
    rss_megabytes: float
    join_seconds: float
    edit_seconds: list[float]
    death_seconds: list[float]
    sent_by_type: dict[str, MessageRate] = field(default_factory=dict)


def measure_window(
    before: list[dict[str, Any]],
    after: list[dict[str, Any]],
    joined: float,
    edits: list[float],
    deaths: list[float],
) -> ScaleMeasures:
    """Work out the means between two answers of every worker's `usage`."""
    seconds = mean(b["at"] - a["at"] for a, b in zip(before, after, strict=True))
    cpu = sum(b["cpu_seconds"] - a["cpu_seconds"] for a, b in zip(before, after, strict=True))
    first = {name: node for one in before for name, node in one["nodes"].items()}
    last = {name: node for one in after for name, node in one["nodes"].items()}
    count = len(last)
    sent = {name: _rate(first[name]["sent"], last[name]["sent"], seconds) for name in last}
    received = {
        name: _rate(first[name]["received"], last[name]["received"], seconds) for name in last
    }
    both = [sent[name].octets + received[name].octets for name in last]
    return ScaleMeasures(
        nodes=count,
        processes=len(after),
        cpu_percent=100 * cpu / seconds / count,
        octets_sent=mean(rate.octets for rate in sent.values()),
        octets_both_mean=mean(both),
        octets_both_busiest=max(both),
        messages_both_mean=mean(sent[name].messages + received[name].messages for name in last),
        rss_megabytes=sum(one["rss_bytes"] for one in after) / count / MEGABYTE,
        join_seconds=joined,
        edit_seconds=edits,
        death_seconds=deaths,
        sent_by_type=_by_type(first, last, seconds),
    )


def measures_text(measures: ScaleMeasures) -> str:
    """Return a table for people."""
    lines = [
        f"nodes {measures.nodes} in {measures.processes} processes",
        f"cpu a node             {measures.cpu_percent:.3f} % of a core",
        f"traffic a node         {measures.octets_both_mean:.0f} B/s sent and received, busiest"
        f" {measures.octets_both_busiest:.0f} B/s, {measures.messages_both_mean:.1f} messages/s",
        f"memory a node          {measures.rss_megabytes:.2f} MB resident, shared process",
        f"all joined after       {measures.join_seconds:.1f} s",
        f"edit in force          {_spread(measures.edit_seconds)}",
        f"death seen everywhere  {_spread(measures.death_seconds)}",
        "sent a node by type of message (messages/s, B/s):",
    ]
    for name, rate in measures.sent_by_type.items():
        lines.append(f"  {name:22} {rate.messages:8.3f} {rate.octets:9.1f}")
    return "\n".join(lines)


def _spread(seconds: list[float]) -> str:
    if not seconds:
        return "not measured"
    return f"{median(seconds):.2f} s median, {max(seconds):.2f} s max of {len(seconds)}"


def _rate(first: dict[str, Any], last: dict[str, Any], seconds: float) -> MessageRate:
    messages = sum(count[0] for count in last.values()) - sum(c[0] for c in first.values())
    octets = sum(count[1] for count in last.values()) - sum(c[1] for c in first.values())
    return MessageRate(messages / seconds, octets / seconds)


def _by_type(first: dict[str, Any], last: dict[str, Any], seconds: float) -> dict[str, MessageRate]:
    messages: dict[str, int] = defaultdict(int)
    octets: dict[str, int] = defaultdict(int)
    for sign, nodes in ((1, last), (-1, {name: first[name] for name in last})):
        for node in nodes.values():
            for name, (number, size) in node["sent"].items():
                messages[name] += sign * number
                octets[name] += sign * size
    scale = seconds * len(last)
    ranked = sorted(octets, key=lambda name: -octets[name])
    return {
        name: MessageRate(messages[name] / scale, octets[name] / scale)
        for name in ranked
        if messages[name]
    }
