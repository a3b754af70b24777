"""Computes the measures of a run from its recorded history."""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from itertools import pairwise

from bramblebeam.lab.collect import ServedRead
from bramblebeam.lab.history import History
from bramblebeam.lab.history.records import (
    BackendAcknowledged,
    EditAccepted,
    FaultInjected,
    NodeCut,
    NodeStarted,
    RequestAnswered,
    RequestSent,
    RowInForce,
)
from bramblebeam.lab.result import Delays, EditSpread, FaultSpan, TimeBin

GAP_WINDOW_SECONDS = 10.0
GAP_FAULTS = ("primary_kill", "primary_cut")
BIN_SECONDS = 0.5


def delays(values: Sequence[float]) -> Delays:
    """Return the percentiles, maximum and count of times in milliseconds."""
    if not values:
        return Delays()
    ordered = sorted(values)
    return Delays(
        p50=percentile(ordered, 0.5),
        p99=percentile(ordered, 0.99),
        max=round(ordered[-1], 3),
        count=len(ordered),
    )


def percentile(ordered: Sequence[float], share: float) -> float:
    """Return the nearest-rank percentile of sorted values; `share` is between 0 and 1."""
    return round(ordered[max(0, math.ceil(share * len(ordered)) - 1)], 3)


def failover_gaps(history: History) -> list[float]:
    """Return the failover gap of each primary that was killed or cut off (milliseconds).

    The gap is the longest time between two acknowledged writes around the fault, which
    overestimates the outage by up to the load's write interval.
    """
    acknowledged = _write_acknowledgements(history)
    gaps = []
    for fault in history.of(FaultInjected):
        if not fault.begins or fault.fault not in GAP_FAULTS:
            continue
        times = acknowledged.get(fault.target, [])
        gaps.append(round(_longest_gap(times, fault.time) * 1000, 1))
    return gaps


def primary_changes(history: History) -> dict[str, int]:
    """Return the number of term changes among each group's acknowledged writes."""
    terms: dict[str, set[int]] = defaultdict(set)
    for record in history.of(BackendAcknowledged):
        terms[record.group].add(record.term)
    return {group: len(found) - 1 for group, found in sorted(terms.items())}


def _write_acknowledgements(history: History) -> dict[str, list[float]]:
    sent = {record.request: record for record in history.of(RequestSent)}
    times: dict[str, list[float]] = defaultdict(list)
    for answer in history.of(RequestAnswered):
        request = sent.get(answer.request)
        if request is None or answer.outcome != "ok":
            continue
        is_write = request.operation == "write" and not request.transaction
        if is_write or request.operation == "commit":
            times[request.group].append(answer.time)
    return times


def _longest_gap(times: Sequence[float], fault: float) -> float:
    end = fault + GAP_WINDOW_SECONDS
    before = [time for time in times if time < fault]
    times_in_window = [before[-1] if before else fault]
    times_in_window += [time for time in times if fault <= time <= end]
    if len(times_in_window) == 1:
        return GAP_WINDOW_SECONDS
    return max(later - earlier for earlier, later in pairwise(times_in_window))


def edit_spreads(
    history: History, start: float, sent_at: Mapping[tuple[str, int], float]
) -> list[EditSpread]:
    """Return how long each accepted edit, or a later version, took to come into force per node.

    Measured from when the operator sent the edit, so the time to accept it is included. For a
    node that was down, paused or cut off meanwhile, measured from its recovery.
    """
    recovered_at = _recovery_times(history)
    rows: dict[tuple[str, str], list[RowInForce]] = defaultdict(list)
    for row in history.of(RowInForce):
        rows[row.key, row.node].append(row)
    nodes = sorted({node for _, node in rows})
    spreads = []
    for edit in history.of(EditAccepted):
        begin = sent_at.get((edit.key, edit.version), edit.time)
        spread = EditSpread(at=round(begin - start, 3), row=edit.key, version=edit.version)
        for node in nodes:
            in_force_at = [row.time for row in rows[edit.key, node] if row.version >= edit.version]
            if in_force_at:
                first = min(in_force_at)
                since = max((at for at in recovered_at.get(node, ()) if at <= first), default=begin)
                spread.delays_ms[node] = round(max(0.0, first - max(begin, since)) * 1000, 1)
        spreads.append(spread)
    return spreads


def _recovery_times(history: History) -> dict[str, list[float]]:
    """Return the times at which each node was started, resumed or reconnected."""
    recovered_at: dict[str, list[float]] = defaultdict(list)
    for record in history:
        if isinstance(record, NodeStarted) or (isinstance(record, NodeCut) and not record.cut):
            recovered_at[record.node].append(record.time)
    return recovered_at


def fault_spans(history: History, start: float) -> list[FaultSpan]:
    """Return the faults with begin and end in seconds from `start`."""
    spans: list[FaultSpan] = []
    for record in history.of(FaultInjected):
        at = round(record.time - start, 3)
        if record.begins:
            spans.append(FaultSpan(kind=record.fault, target=record.target, begin=at))
            continue
        for span in spans:
            if (span.kind, span.target, span.end) == (record.fault, record.target, None):
                span.end = at
                break
    return spans


def replica_read_share(reads: Iterable[ServedRead]) -> float | None:
    """Return the share of reads that replicas served, or None if there were no reads."""
    served = [read.at_replica for read in reads]
    return round(sum(served) / len(served), 5) if served else None


def time_bins(
    samples: Sequence[tuple[float, float]],
    reads: Iterable[ServedRead],
    history: History,
    start: float,
) -> list[TimeBin]:
    """Return latency and errors per interval.

    Latencies count at the request's intended start, errors and replica reads at their own time.
    """
    latencies: dict[int, list[float]] = defaultdict(list)
    errors: dict[int, int] = defaultdict(int)
    for intended, latency in samples:
        latencies[_bin(intended, start)].append(latency)
    for answer in history.of(RequestAnswered):
        if answer.outcome != "ok":
            errors[_bin(answer.time, start)] += 1
    served: dict[int, list[ServedRead]] = defaultdict(list)
    for read in reads:
        served[_bin(read.time, start)].append(read)
    bins = []
    for number in sorted(number for number in {*latencies, *errors} if number >= 0):
        ordered = sorted(latencies[number])
        time_bin = TimeBin(start=number * BIN_SECONDS, requests=len(ordered), errors=errors[number])
        if ordered:
            time_bin.p50_ms = percentile(ordered, 0.5)
            time_bin.p99_ms = percentile(ordered, 0.99)
        time_bin.replica_read_share = replica_read_share(served[number])
        bins.append(time_bin)
    return bins


def _bin(time: float, start: float) -> int:
    return math.floor((time - start) / BIN_SECONDS)
