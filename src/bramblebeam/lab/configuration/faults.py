"""Schedules the faults of a trial at random times from a seeded generator."""

from collections.abc import Callable

from bramblebeam.lab.configuration.world import World

MESSAGE_LOSS_FRACTION = 0.02
LOST_ANSWER_FRACTION = 0.05
STORE_DOWN_SECONDS = 30.0
STORE_SLOW_SECONDS = 10.0
STORE_DELAY_SECONDS = 3.0
"""Longer than the writer's timeout, so that writes take effect after it gave up."""
CUT_SECONDS = 10.0
PAUSE_SECONDS = 5.0
RESTART_SECONDS = 6.0


def schedule_faults(world: World, seconds: float) -> None:
    """Schedule every type of fault repeatedly over `seconds` of virtual time."""
    world.loss = MESSAGE_LOSS_FRACTION
    world.store.lost = LOST_ANSWER_FRACTION
    periods: tuple[tuple[float, float, Callable[[World], None]], ...] = (
        (150.0, STORE_DOWN_SECONDS, _store_down),
        (110.0, STORE_SLOW_SECONDS, _store_slow),
        (17.0, 0.0, lambda one: one.store.cut_watches()),
        (11.0, 0.0, lambda one: one.store.remove_any()),
        (45.0, 0.0, lambda one: one.store.objects.compact()),
        (60.0, CUT_SECONDS, _cut_zone),
        (80.0, CUT_SECONDS, _cut_zone_from_store),
        (7.0, PAUSE_SECONDS, _pause_node),
        (9.0, RESTART_SECONDS, _restart_node),
    )
    for period, length, begin in periods:
        at = period * world.random.uniform(0.3, 1.0)
        while at + length < seconds:
            world.clock.after(at, lambda call=begin: call(world))  # type: ignore[misc]
            at += period * world.random.uniform(0.7, 1.3)


def _store_down(world: World) -> None:
    world.store.down = True
    world.store.cut_watches()
    world.clock.after(STORE_DOWN_SECONDS, lambda: setattr(world.store, "down", False))


def _store_slow(world: World) -> None:
    world.store.slow = STORE_DELAY_SECONDS
    world.clock.after(STORE_SLOW_SECONDS, lambda: setattr(world.store, "slow", 0.0))


def _cut_zone(world: World) -> None:
    """Partition one zone from all others and from the store."""
    zone = world.random.choice(sorted({node.zone for node in world.nodes.values()}))
    world.cut_zone(zone)
    world.clock.after(CUT_SECONDS, lambda: world.heal_zone(zone))


def _cut_zone_from_store(world: World) -> None:
    """Partition one zone from the store only; it gets its rows from the other zones."""
    zone = world.random.choice(sorted({node.zone for node in world.nodes.values()}))
    world.cut_from_store.add(zone)
    world.clock.after(CUT_SECONDS, lambda: world.cut_from_store.discard(zone))


def _pause_node(world: World) -> None:
    node = world.random.choice([node for node in world.nodes.values() if node.alive])
    if not node.paused:
        world.pause(node)
        world.clock.after(PAUSE_SECONDS, lambda: world.resume(node))


def _restart_node(world: World) -> None:
    node = world.random.choice([node for node in world.nodes.values() if node.alive])
    world.kill(node)
    world.clock.after(RESTART_SECONDS, lambda: world.restart(node))
