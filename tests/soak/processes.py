"""`python -m soak.processes --minutes 5 --seed 1`: the soak on processes, seed after seed.

The exit code is 1 if a rule broke.
"""

import time
from pathlib import Path

import typer
import uvloop

from soak.process_run import ProcessReport, run
from soak.run import SESSIONS

SECONDS_A_SEED = 12.0
FINDINGS = Path("/tmp/bramblebeam-soak")


def main(
    minutes: float = 1.0,
    seed: int = 1,
    seconds: float = SECONDS_A_SEED,
    nodes: int = 0,
    sessions: int = SESSIONS,
    findings: Path = FINDINGS,
    faults: str = "",
    restores: bool = False,
    tenants: bool = False,
) -> None:
    """Play seeds from SEED on, each for some SECONDS of faults, until the MINUTES are over.

    NODES: processes a run, 0 for the seed's own choice. SESSIONS: writing callers. FINDINGS: where
    the logs of broken runs are kept. FAULTS: names of the only ones to play, with commas between.
    RESTORES: the store comes back from copies of itself, too. TENANTS: callers have keys, and one
    tenant asks for far more than its limit.
    """
    deadline = time.monotonic() + minutes * 60
    broken = 0
    only = tuple(name for name in faults.split(",") if name)
    while True:
        report = uvloop.run(run(seed, seconds, findings, nodes, sessions, only, restores, tenants))
        _print(report)
        if report.broken:
            broken += 1
            typer.echo(f"  logs: {findings / str(seed)}")
            again = f"python -m soak.processes --minutes 0 --seed {seed} --seconds {seconds}"
            again += " --restores" if restores else ""
            again += " --tenants" if tenants else ""
            typer.echo(
                f"  again: {again} --nodes {nodes} --sessions {sessions} --faults '{faults}'"
            )
        seed += 1
        if time.monotonic() >= deadline:
            break
    raise typer.Exit(code=1 if broken else 0)


def _print(report: ProcessReport) -> None:
    typer.echo(
        f"seed {report.seed} ({report.kind}): {report.succeeded} of {report.attempts} attempts "
        f"succeeded, {report.lives} lives, {report.promotions} promotions, "
        f"{len(report.violations)} violations, {len(report.problems)} problems; "
        f"faults: {' '.join(report.faults)}"
    )
    for violation in report.violations[:10]:
        typer.echo(f"  {violation.rule}: {violation.detail}: {violation.attempt}")
    for problem in report.problems[:10]:
        typer.echo(f"  {problem}")


if __name__ == "__main__":
    typer.run(main)
