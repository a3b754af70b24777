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
    count: Annotated[int, typer.Option(help="How many schedules.")] = 200,
    first: Annotated[int, typer.Option(help="Seed of the first; the others count up.")] = 0,
    members: Annotated[int, typer.Option(help="Members of the group.")] = 3,
) -> None:
    """Change primaries under random faults in virtual time; exit code 1: something was violated."""
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
