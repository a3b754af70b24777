"""Command line of the process soak: `python -m soak.processes --minutes 5 --seed 1`.

Plays one seed after the other. The exit code is 1 if a run violated a rule or had a problem.
"""

import time
from pathlib import Path

import typer
import uvloop

from soak.process_run import ProcessReport, run
from soak.run import SESSIONS

SECONDS_PER_SEED = 12.0
FINDINGS = Path("/tmp/bramblebeam-soak")


def main(
    minutes: float = 1.0,
    seed: int = 1,
    seconds: float = SECONDS_PER_SEED,
    nodes: int = 0,
    sessions: int = SESSIONS,
    findings: Path = FINDINGS,
    faults: str = "",
    restores: bool = False,
    tenants: bool = False,
    stops: bool = False,
) -> None:
    """Play consecutive seeds from SEED on, each for SECONDS of faults, until MINUTES have passed.

    NODES: processes per run, 0 to let the seed choose. SESSIONS: number of writers. FINDINGS:
    folder for the logs of failed runs. FAULTS: comma-separated names, to play only these.
    RESTORES: also restore the store from earlier copies. TENANTS: callers have API keys, and one
    tenant sends far more than its limit. STOPS: planned stops of nodes, under callers that hold
    their sessions open.
    """
    deadline = time.monotonic() + minutes * 60
    failed_seeds = 0
    only = tuple(name for name in faults.split(",") if name)
    while True:
        report = uvloop.run(
            run(seed, seconds, findings, nodes, sessions, only, restores, tenants, stops)
        )
        _print(report)
        if report.failed:
            failed_seeds += 1
            typer.echo(f"  logs: {findings / str(seed)}")
            command = f"python -m soak.processes --minutes 0 --seed {seed} --seconds {seconds}"
            command += " --restores" if restores else ""
            command += " --tenants" if tenants else ""
            command += " --stops" if stops else ""
            typer.echo(
                f"  reproduce: {command} --nodes {nodes} --sessions {sessions} --faults '{faults}'"
            )
        seed += 1
        if time.monotonic() >= deadline:
            break
    raise typer.Exit(code=1 if failed_seeds else 0)


def _print(report: ProcessReport) -> None:
    typer.echo(
        f"seed {report.seed} ({report.kind}): {report.succeeded} of {report.attempts} attempts "
        f"succeeded, {report.process_starts} process starts, {report.promotions} promotions, "
        f"{len(report.violations)} violations, {len(report.problems)} problems; "
        f"faults: {' '.join(report.faults)}"
    )
    if report.figures:
        typer.echo(f"  {report.figures}")
    for violation in report.violations[:10]:
        typer.echo(f"  {violation.rule}: {violation.detail}: {violation.attempt}")
    for problem in report.problems[:10]:
        typer.echo(f"  {problem}")


if __name__ == "__main__":
    typer.run(main)
