"""Command line of the in-process soak: `python -m soak --minutes 5 --seed 1`.

Plays one seed after the other. The exit code is 1 if a run violated a rule.
"""

import time

import typer

from soak.run import Report, clock_step, run_by_coarse_clock

SECONDS_PER_SEED = 10.0


def main(minutes: float = 1.0, seed: int = 1, seconds: float = SECONDS_PER_SEED) -> None:
    """Play consecutive seeds from `seed` on, each for `seconds`, until `minutes` have passed."""
    deadline = time.monotonic() + minutes * 60
    failed_seeds = 0
    while True:
        report = run_by_coarse_clock(seed, seconds)
        _print(report, seconds)
        failed_seeds += bool(report.violations)
        seed += 1
        if time.monotonic() >= deadline:
            break
    raise typer.Exit(code=1 if failed_seeds else 0)


def _print(report: Report, seconds: float) -> None:
    typer.echo(
        f"seed {report.seed}: {report.succeeded} of {report.attempts} attempts succeeded, "
        f"{report.promotions} promotions, {len(report.violations)} violations; "
        f"clock in steps of {clock_step(report.seed) * 1000:g} ms; "
        f"faults: {' '.join(report.faults)}"
    )
    for violation in report.violations[:10]:
        typer.echo(f"  {violation.rule}: {violation.detail}: {violation.attempt}")
    if report.violations:
        typer.echo(
            f"  reproduce: python -m soak --minutes 0 --seed {report.seed} --seconds {seconds}"
        )


if __name__ == "__main__":
    typer.run(main)
