"""The command `bramblebeam lab schedules`."""

import json
import sys
from typing import Annotated

import typer

from bramblebeam.lab.schedules.schedule import Schedule

application = typer.Typer()

VIOLATED = 1


@application.command()
def schedules(
    count: Annotated[int, typer.Option(help="Number of schedules to run.")] = 200,
    first: Annotated[
        int, typer.Option(help="Seed of the first schedule; later ones increment it.")
    ] = 0,
    members: Annotated[int, typer.Option(help="Number of members of the group.")] = 3,
) -> None:
    """Run random fault schedules against one group in virtual time. Exit code 1: violations."""
    violations: dict[int, str] = {}
    promotions = acknowledged = 0
    for seed in range(first, first + count):
        schedule = Schedule(seed, members)
        violation = schedule.run()
        if violation:
            violations[seed] = violation
        promotions += schedule.watchers.promotions
        acknowledged += len(schedule.members.acknowledged)
    result = {
        "schedules": count,
        "members": members,
        "promotions": promotions,
        "acknowledged": acknowledged,
        "violations": violations,
    }
    typer.echo(json.dumps(result))
    sys.exit(VIOLATED if violations else 0)
