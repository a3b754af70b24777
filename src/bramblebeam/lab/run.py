"""Runs a scenario on real processes, checks its history and computes its measures."""

import asyncio
import contextlib
import tempfile
import time
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp

from bramblebeam.lab.cluster import Cluster
from bramblebeam.lab.collect import BackendRecorder, collect_nodes
from bramblebeam.lab.control import StandInControl
from bramblebeam.lab.faults import FaultInjector
from bramblebeam.lab.history import History, write_history
from bramblebeam.lab.history.records import RunEnded
from bramblebeam.lab.judge import count_observations, count_violations, judge
from bramblebeam.lab.load import LoadGenerator
from bramblebeam.lab.measures import (
    delays,
    edit_spreads,
    failover_gaps,
    fault_spans,
    primary_changes,
    replica_read_share,
    time_bins,
)
from bramblebeam.lab.operators import Operators
from bramblebeam.lab.probe import idle_cost
from bramblebeam.lab.processes import process_group
from bramblebeam.lab.result import ControlCost, Delays, Errors, RunResult
from bramblebeam.lab.scenario import Scenario
from bramblebeam.lab.setup import prepare

IDLE_SECONDS = 3.0
SETTLE_SECONDS = 10.0
"""Duration of the run after the load; edits must be in force within 9 s."""

MICROSECONDS_PER_MILLISECOND = 1000.0
VIOLATIONS_SHOWN = 20


class Run:
    """The components of one run. `settle_seconds`: duration of the run after the load."""

    def __init__(
        self, scenario: Scenario, seed: int, cluster: Cluster, http: aiohttp.ClientSession
    ) -> None:
        self.scenario = scenario
        self.seed = seed
        self.cluster = cluster
        self.history = History()
        self.control = StandInControl(cluster, http)
        self.operators = Operators(cluster, http, self.history, seed)
        self.load = LoadGenerator(scenario.load, cluster.clients, self.history, seed)
        self.recorder = BackendRecorder(cluster, http)
        self.faults = FaultInjector(
            cluster, self.control, self.recorder, self.operators, self.load, self.history
        )
        self.cost = ControlCost()
        self.start = 0.0
        self.settle_seconds = SETTLE_SECONDS
        self._http = http

    async def begin(self) -> None:
        """Start the processes and prepare the groups. Raises ProcessStartError and SetupError."""
        await self.cluster.start()
        await prepare(self.cluster, self.history)

    async def measure_idle(self) -> None:
        """Measure the nodes' resource usage without load."""
        self.cost = await idle_cost(self.cluster, self._http, IDLE_SECONDS)

    async def offer_load(self) -> None:
        """Run the load together with its faults and edits."""
        self.start = time.monotonic()
        end = self.start + self.scenario.load.duration_seconds
        faults = [fault for fault in self.scenario.faults if self.start + fault.at < end]
        await asyncio.gather(
            self.load.run(),
            self.faults.run(faults, self.start),
            self.operators.run(self.scenario.load.edits_per_second, end),
        )

    async def end(self) -> RunResult:
        """Wait for edits to come into force, collect all records, and return the checked result."""
        await asyncio.sleep(self.settle_seconds)
        incomplete = await self.recorder.collect(self.history)
        collect_nodes(self.cluster, self.history)
        self.history.add(RunEnded(time.monotonic(), True, incomplete))
        return self._result()

    def _result(self) -> RunResult:
        violations = judge(self.history)
        duration = self.scenario.load.duration_seconds
        spreads = edit_spreads(self.history, self.start, self.operators.sent_at)
        reads = [read for read in self.recorder.reads if read.time >= self.start]
        outcomes = self.load.outcomes
        in_force = [delay for spread in spreads for delay in spread.delays_ms.values()]
        return RunResult(
            scenario=self.scenario.name,
            seed=self.seed,
            mode="processes",
            nodes=len(self.scenario.topology.nodes),
            statements=self.load.statements,
            invariant_violations=count_violations(violations),
            replica_read_share=replica_read_share(reads),
            failover_gap_ms=failover_gaps(self.history),
            config_in_force_ms=delays(in_force),
            latency_ms=self._latency(),
            errors=Errors(
                not_run=outcomes["not_run"],
                ran=outcomes["ran"],
                unknown=outcomes["unknown"],
                lost=outcomes["lost"],
            ),
            control=self.cost,
            duration_seconds=duration,
            moves=self.load.moves,
            examined=count_observations(self.history),
            reasons=dict(self.load.reasons.most_common()),
            primary_changes=primary_changes(self.history),
            faults=fault_spans(self.history, self.start),
            faults_not_injected=self.faults.not_injected,
            bins=time_bins(self.load.samples, reads, self.history, self.start),
            edits=spreads,
            conflicts_shown=self.operators.conflicts,
            violations=[
                f"{violation.invariant}: {violation.detail}"
                for violation in violations[:VIOLATIONS_SHOWN]
            ],
        )

    def _latency(self) -> Delays:
        histogram = self.load.latency
        if not histogram.total_count:
            return Delays()
        values = [
            round(histogram.get_value_at_percentile(share) / MICROSECONDS_PER_MILLISECOND, 3)
            for share in (50.0, 99.0, 100.0)
        ]
        return Delays(p50=values[0], p99=values[1], max=values[2], count=histogram.total_count)


@contextlib.asynccontextmanager
async def open_run(
    scenario: Scenario, seed: int, directory: Path, mutation: str = ""
) -> AsyncIterator[Run]:
    """Yield a run; end its processes on exit, also after an error.

    `mutation`: the mutation that the nodes run with, if any.
    """
    async with process_group(directory) as processes, aiohttp.ClientSession() as http:
        yield Run(scenario, seed, Cluster(scenario, processes, mutation), http)


async def run_scenario(
    scenario: Scenario,
    seed: int,
    seconds: float = 0.0,
    keep: Path | None = None,
    mutation: str = "",
) -> RunResult:
    """Run a scenario and return its result.

    `seconds` overrides the duration of the load unless 0. `keep` is a directory for the run's
    files; without it they are deleted.
    """
    if seconds:
        load = scenario.load.model_copy(update={"duration_seconds": seconds})
        scenario = scenario.model_copy(update={"load": load})
    with tempfile.TemporaryDirectory() as temporary:
        directory = keep or Path(temporary)
        directory.mkdir(parents=True, exist_ok=True)
        async with open_run(scenario, seed, directory, mutation) as run:
            await run.begin()
            await run.measure_idle()
            await run.offer_load()
            result = await run.end()
            write_history(directory / "history.jsonl", run.history)
            return result
