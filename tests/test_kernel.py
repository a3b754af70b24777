"""Restart rule, bounded mailboxes, publishing, draining and stopping of the kernel."""

import asyncio
from dataclasses import dataclass
from typing import ClassVar

import pytest

from bramblebeam.kernel import (
    Kernel,
    MailboxFullError,
    RestartRule,
    Service,
    ServiceFailedError,
)
from bramblebeam.kernel.mailbox import Envelope
from bramblebeam.kernel.service import answer


@dataclass(frozen=True)
class Add:
    value: int


@dataclass(frozen=True)
class Fail:
    in_child: bool = False


@dataclass(frozen=True)
class Hold:
    pass


class AdderService(Service):
    name: ClassVar[str] = "adder"
    mailbox_capacity: ClassVar[int] = 4

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.total = 0
        self.starts = 0
        self.stops = 0
        self.failing_starts = 0
        self.drain_seconds = 0.0
        self.journal: list[str] = []

    async def start(self) -> None:
        self.starts += 1
        self.journal.append(f"start {self.name}")
        if self.starts > 1 and self.failing_starts:
            self.failing_starts -= 1
            raise OSError("address in use")

    async def stop(self) -> None:
        self.stops += 1
        self.journal.append(f"stop {self.name}")

    async def drain(self) -> None:
        if self.drain_seconds < 0:
            raise RuntimeError("drain failed")
        await asyncio.sleep(self.drain_seconds)
        self.journal.append(f"drained {self.name}")

    async def handle(self, envelope: Envelope) -> None:
        match envelope.message:
            case Add(value):
                self.total += value
                answer(envelope, self.total)
            case Fail(in_child=True):
                self.spawn(self._fail())
            case Fail():
                raise ValueError("handler failed")

    async def _fail(self) -> None:
        raise ValueError("child failed")


class OtherService(AdderService):
    name: ClassVar[str] = "other"


async def started(rule: RestartRule | None = None) -> tuple[Kernel, AdderService]:
    kernel = Kernel(rule)
    service = AdderService(kernel)
    kernel.register(service)
    await kernel.start()
    return kernel, service


@pytest.mark.parametrize("in_child", [False, True])
async def test_failed_service_restarts_and_its_waiting_senders_get_an_error(in_child: bool) -> None:
    kernel, service = await started()
    held = asyncio.create_task(kernel.call("adder", Hold()))
    await asyncio.sleep(0)
    with pytest.raises(ServiceFailedError):
        await kernel.call("adder", Fail(in_child))
    with pytest.raises(ServiceFailedError):
        await held
    assert await kernel.call("adder", Add(2)) == 2
    assert (service.starts, service.stops) == (2, 1)
    await kernel.stop()


async def test_messages_that_wait_survive_a_restart() -> None:
    kernel, _ = await started()
    failed = asyncio.create_task(kernel.call("adder", Fail()))
    later = asyncio.create_task(kernel.call("adder", Add(3)))
    assert await later == 3
    assert isinstance(failed.exception(), ServiceFailedError)
    await kernel.stop()


async def test_two_failures_at_once_are_one_restart() -> None:
    kernel, service = await started()
    kernel.post("adder", Fail(in_child=True))
    kernel.post("adder", Fail(in_child=True))
    kernel.post("adder", Fail())
    assert await kernel.call("adder", Add(1)) == 1
    assert service.starts == 2
    await kernel.stop()


async def test_node_ends_when_a_service_fails_more_often_than_the_rule_allows() -> None:
    kernel, service = await started(RestartRule(limit=2, window=60.0))
    for _ in range(2):
        with pytest.raises(ServiceFailedError):
            await kernel.call("adder", Fail())
    kernel.post("adder", Fail())
    await asyncio.wait_for(kernel.wait_failed(), 5)
    assert service.starts == 3
    await kernel.stop()


async def test_failing_restart_counts_as_a_failure() -> None:
    kernel, service = await started(RestartRule(limit=2, window=60.0))
    service.failing_starts = 9
    kernel.post("adder", Fail())
    await asyncio.wait_for(kernel.wait_failed(), 5)
    assert service.starts == 3
    await kernel.stop()


async def test_full_mailbox_refuses_posts_and_does_not_stop_a_publisher() -> None:
    kernel = Kernel()
    service = AdderService(kernel)
    kernel.register(service)
    kernel.subscribe(Add, "adder")
    kernel.subscribe(Add, "adder")
    for _ in range(4):
        kernel.post("adder", Add(1))
    with pytest.raises(MailboxFullError):
        kernel.post("adder", Add(1))
    with pytest.raises(MailboxFullError):
        await kernel.call("adder", Add(1))
    for _ in range(9):
        kernel.publish(Add(10))
    assert len(service.mailbox) == 8
    await kernel.start()
    await asyncio.sleep(0.01)
    assert service.total == 44
    await kernel.stop()


async def test_services_stop_in_reverse_order_and_drain_concurrently() -> None:
    kernel = Kernel()
    first, second = AdderService(kernel), OtherService(kernel)
    journal = first.journal
    second.journal = journal
    kernel.register(first, second)
    await kernel.start()
    second.drain_seconds = 0.02
    await kernel.drain()
    await kernel.stop()
    assert journal == [
        "start adder",
        "start other",
        "drained adder",
        "drained other",
        "stop other",
        "stop adder",
    ]


async def test_failing_drain_does_not_stop_other_drains() -> None:
    kernel = Kernel()
    first, second = AdderService(kernel), OtherService(kernel)
    kernel.register(first, second)
    await kernel.start()
    second.drain_seconds = -1
    await kernel.drain()
    assert first.journal[-1] == "drained adder"
    await kernel.stop()


async def test_stop_answers_every_sender() -> None:
    kernel, _ = await started()
    held = asyncio.create_task(kernel.call("adder", Hold()))
    await asyncio.sleep(0.01)
    await kernel.stop()
    with pytest.raises(ServiceFailedError):
        await held


async def test_failing_first_start_stops_what_was_started() -> None:
    kernel = Kernel()
    first, second = AdderService(kernel), OtherService(kernel)
    second.starts, second.failing_starts = 1, 1
    kernel.register(first, second)
    with pytest.raises(OSError, match="address in use"):
        await kernel.start()
    assert (first.stops, second.stops) == (1, 1)


async def test_a_service_that_never_closes_does_not_block_the_node(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("bramblebeam.kernel.kernel.CLOSE_SECONDS", 0.05)
    kernel, service = await started()
    held = asyncio.create_task(kernel.call("adder", Hold()))
    await asyncio.sleep(0.01)

    async def never() -> None:
        await asyncio.Event().wait()

    service.stop = never  # type: ignore[method-assign]
    await kernel.stop()
    with pytest.raises(ServiceFailedError):
        await held


def test_a_name_is_registered_once() -> None:
    kernel = Kernel()
    kernel.register(AdderService(kernel))
    with pytest.raises(ValueError, match="registered already"):
        kernel.register(AdderService(kernel))
