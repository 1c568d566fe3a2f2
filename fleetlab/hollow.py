"""A process of hollow ingresses: configuration, decisions, discovery and counter are real; no client sockets.

python -m fleetlab.hollow reads one JSON line (HollowSpec) on standard input and writes one JSON line (Report)
a second. It ends when its standard input does, at SIGTERM, or once its time is over.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from collections import deque
from collections.abc import Callable, Iterator
from random import Random
from typing import Any

import msgspec
import uvloop

from fleetlab.measure import peak_mb, rss_mb
from fleetlab.site import config_text
from sumacpost.config import Config, read_config
from sumacpost.counter.client import CounterClient
from sumacpost.discovery.endpoint_list import AddressByBackend
from sumacpost.discovery.watch import DiscoveryWatch
from sumacpost.model import (
    AddToCounter,
    AttemptEnded,
    CounterReplied,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    Fail,
    Outcome,
    Reject,
    RequestArrived,
    RequestCancelled,
    Send,
    SetTimer,
    TimerFired,
    UpdateKind,
)
from sumacpost.policy.gateway import Gateway
from sumacpost.supervisor import SupervisedTask

TICK_S = 0.05  # between batches of requests
ANSWER_MS = 1.0  # what an attempt takes, as the gateway is told
TIME_LEFT_MS = 2000.0  # of a request, at its arrival
MEET_AT_ONCE = 200  # customers, before other tasks have their turn
WIDTH = 3  # ingresses that a customer's requests come in through


class HollowSpec(msgspec.Struct, frozen=True):
    """What a process holds: ingresses numbered from first of gateways, requests a second at each, customers.

    meet: customers that each ingress meets once before it begins. seconds: the process ends after so many.
    """

    ingresses: int
    gateways: int
    discovery: str
    counter: str = ""
    first: int = 0
    rate: float = 20.0
    customers: int = 1000
    meet: int = 0
    classes: int = 3
    burst: float = 1000.0
    seed: int = 0
    seconds: float = 60.0


class Report(msgspec.Struct, frozen=True):
    """Sums over all ingresses of a process since its start; at_s counts from there.

    ready_s: when all held a list and had met their customers, None before. told_ms: the longest time from a
    backend's start, as its entry has it, to the telling of the change, since the report before.
    """

    at_s: float
    ready_s: float | None
    entries: int
    least_entries: int  # at the ingress that holds fewest
    discovery_bytes: int
    counter_bytes: int
    counter_calls: int
    counter_added: int
    arrived: int
    sent: int
    refused: int
    failed: int
    changes: int
    told_ms: float
    base_mb: float  # before the first ingress was made
    rss_mb: float
    peak_mb: float
    cpu_s: float
    decision_cpu_s: float  # of that, in batches of requests


class _Counted(asyncio.Protocol):
    """Hands everything on, and counts the bytes that come."""

    def __init__(self, inner: Any, count: Callable[[int], None]) -> None:
        self._inner, self._count = inner, count

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._inner.connection_made(transport)

    def data_received(self, data: bytes) -> None:
        self._count(len(data))
        self._inner.data_received(data)

    def eof_received(self) -> bool | None:
        return self._inner.eof_received()  # type: ignore[no-any-return]

    def connection_lost(self, exc: Exception | None) -> None:
        self._inner.connection_lost(exc)

    def pause_writing(self) -> None:
        self._inner.pause_writing()

    def resume_writing(self) -> None:
        self._inner.resume_writing()


class CountingLoop(uvloop.Loop):
    """The ingress's event loop, which counts what its connections bring by the port that they go to."""

    def __init__(self) -> None:
        super().__init__()
        self.received: dict[int, int] = {}

    async def create_connection(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **more: Any
    ) -> Any:
        def count(size: int) -> None:
            self.received[port] = self.received.get(port, 0) + size

        inner = protocol_factory()
        transport, _ = await super().create_connection(
            lambda: _Counted(inner, count), host, port, **more
        )
        return transport, inner


class HollowIngress:
    """One ingress with no client sockets: every attempt is answered at once, every refusal is counted."""

    def __init__(self, config: Config) -> None:
        self._loop = asyncio.get_running_loop()
        self._offset = time.time() - time.monotonic()
        self.config = config
        self.gateway = Gateway(config.settings, config.seed)
        self.endpoints: AddressByBackend = {}
        self.version = 0
        self.arrived = self.sent = self.refused = self.failed = self.changes = 0
        self.counter_calls = self.counter_added = 0
        self.told_ms = 0.0
        self._tries: dict[int, int] = {}  # attempts of each request that owes its answer
        self._due: deque[tuple[float, int]] = deque()
        self._events: deque[Event] = deque()
        self._busy = False
        self.discovery = DiscoveryWatch(
            config.discovery,
            config.endpoint_list_reader,
            config.initial_endpoints.version,
            self.fleet,
            config.settings.drain_grace_ms / 1000,
        )
        self.counter = (
            CounterClient(config.counter, config.settings.counter_timeout_ms / 1000, self._answered)
            if config.settings.counter
            else None
        )

    def now(self) -> float:
        """Milliseconds on the scale of Unix time, as the gateway is told them."""
        return (self._offset + time.monotonic()) * 1000

    def start(self) -> list[SupervisedTask]:
        """The lasting tasks of its discovery and its counter."""
        tasks = [SupervisedTask("discovery-watch", self.discovery.run)]
        if (counter := self.counter) is not None:
            tasks.append(SupervisedTask("counter-client", lambda: counter.run(asyncio.Event())))
        return tasks

    def fleet(self, update: EndpointListUpdate, endpoints: AddressByBackend) -> None:
        """The list of backends has changed."""
        if update.kind is not UpdateKind.CHANGES:
            self.endpoints = dict(endpoints)
        else:
            self.changes += len(update.entries)
            self.endpoints.update(endpoints)
            started = [entry.up_since_ms for entry in update.entries if entry.up_since_ms]
            self.told_ms = max([self.told_ms, *(self.now() - ms for ms in started)])
        for entry in update.entries:
            if entry.state is EndpointStatus.GONE:
                self.endpoints.pop(entry.backend, None)
        self.version = update.version
        self._handle(update)

    def arrive(self, customer: int, cls: int, units: float = 1.0) -> None:
        """A client's request, which is answered or refused at once, or when the counter has answered."""
        self.arrived += 1
        number = self.arrived
        self._tries[number] = 0
        self._due.append((self.now() + TIME_LEFT_MS, number))
        self._handle(
            RequestArrived(
                number, customer, 0, cls, units, self.config.settings.index, WIDTH, TIME_LEFT_MS
            )
        )

    def sweep(self) -> None:
        """Withdraw what has waited for the counter past its time."""
        now = self.now()
        while self._due and self._due[0][0] <= now:
            if self._tries.pop(number := self._due.popleft()[1], None) is not None:
                self.failed += 1
                self._handle(RequestCancelled(number))

    def _answered(self, event: CounterReplied) -> None:
        self.counter_added += event.outcome is Outcome.OK
        self._handle(event)

    def _handle(self, event: Event) -> None:
        """One event after another, also those that an action brings at once."""
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                for action in self.gateway.handle(self.now(), self._events.popleft()):
                    self._carry_out(action)
        finally:
            self._busy = False

    def _carry_out(self, action: object) -> None:
        match action:
            case Send(number, backend):
                self.sent += 1
                attempt = self._tries.pop(number, 0)
                self._events.append(
                    AttemptEnded(number, attempt, backend, Outcome.OK, ANSWER_MS, True)
                )
            case Reject(number):
                self.refused += 1
                self._tries.pop(number, None)
            case Fail(number):
                self.failed += 1
                self._tries.pop(number, None)
            case AddToCounter(name, amount, ttl_ms) if self.counter is not None:
                self.counter_calls += 1
                self.counter.call(name, amount, ttl_ms)
            case SetTimer(after_ms, label):
                self._loop.call_later(after_ms / 1000, self._handle, TimerFired(label))


def configs(spec: HollowSpec) -> Iterator[Config]:
    """Each ingress's own configuration, read from its own text; ConfigError if the spec makes none."""
    for index in range(spec.first, spec.first + spec.ingresses):
        yield read_config(
            config_text(
                index=index,
                gateways=spec.gateways,
                discovery=spec.discovery,
                counter=spec.counter,
                seed=spec.seed,
                classes=spec.classes,
                burst=spec.burst,
            )
        )


class HollowProcess:
    """All ingresses of one process, what drives them and what they report."""

    def __init__(self, spec: HollowSpec, loop: CountingLoop) -> None:
        self.spec, self._loop = spec, loop
        self._began, self._base_mb = loop.time(), rss_mb(os.getpid())
        self._cpu_before = time.process_time()
        self._random = Random(spec.seed + spec.first)
        self._decision_s = 0.0
        self._ready_s: float | None = None
        self.ingresses = [HollowIngress(config) for config in configs(spec)]

    async def run(self, stop: asyncio.Event) -> None:
        """Drive the ingresses until stop is set or the time is over, and report every second."""
        tasks = [task for ingress in self.ingresses for task in ingress.start()]
        driver = asyncio.create_task(self._drive())
        try:
            async with asyncio.timeout(self.spec.seconds):
                told_ready = False
                while not stop.is_set() and not driver.done():
                    print(msgspec.json.encode(self.report()).decode(), flush=True)
                    end = self._loop.time() + 1.0
                    while self._loop.time() < end and not stop.is_set() and not driver.done():
                        await asyncio.sleep(TICK_S)
                        if self._ready_s is not None and not told_ready:
                            told_ready = True
                            break
        except TimeoutError:
            pass
        finally:
            if (
                driver.done()
                and not driver.cancelled()
                and (error := driver.exception()) is not None
            ):
                raise error
            driver.cancel()
            for task in tasks:
                task.stop()

    async def _drive(self) -> None:
        while not all(ingress.endpoints for ingress in self.ingresses):
            await asyncio.sleep(TICK_S / 5)
        for customer in range(self.spec.meet):
            for ingress in self.ingresses:
                ingress.arrive(customer, customer % self.spec.classes)
            if customer % MEET_AT_ONCE == 0:
                await asyncio.sleep(0)
        self._ready_s = self._loop.time() - self._began
        begun, made = self._loop.time(), 0
        while True:
            await asyncio.sleep(TICK_S)
            due = int((self._loop.time() - begun) * self.spec.rate)
            before = time.thread_time()
            for ingress in self.ingresses:
                for _ in range(made, due):
                    ingress.arrive(
                        self._random.randrange(self.spec.customers),
                        self._random.randrange(self.spec.classes),
                    )
                ingress.sweep()
            self._decision_s += time.thread_time() - before
            made = due

    def report(self) -> Report:
        """The sums as they stand."""

        def total(name: str) -> int:
            return sum(getattr(ingress, name) for ingress in self.ingresses)

        received, first = self._loop.received, self.ingresses[0].config
        held = [len(ingress.endpoints) for ingress in self.ingresses]
        told_ms = max(ingress.told_ms for ingress in self.ingresses)
        for ingress in self.ingresses:
            ingress.told_ms = 0.0
        return Report(
            at_s=self._loop.time() - self._began,
            ready_s=self._ready_s,
            entries=sum(held),
            least_entries=min(held),
            discovery_bytes=received.get(first.discovery[1], 0),
            counter_bytes=received.get(first.counter[1], 0) if first.counter else 0,
            counter_calls=total("counter_calls"),
            counter_added=total("counter_added"),
            arrived=total("arrived"),
            sent=total("sent"),
            refused=total("refused"),
            failed=total("failed"),
            changes=total("changes"),
            told_ms=told_ms,
            base_mb=self._base_mb,
            rss_mb=rss_mb(os.getpid()),
            peak_mb=peak_mb(os.getpid()),
            cpu_s=time.process_time() - self._cpu_before,
            decision_cpu_s=self._decision_s,
        )


async def _run(spec: HollowSpec, loop: CountingLoop) -> None:
    stop = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)

    def heard() -> None:
        if not os.read(sys.stdin.fileno(), 4096):
            stop.set()

    loop.add_reader(sys.stdin.fileno(), heard)
    await HollowProcess(spec, loop).run(stop)


def main() -> int:
    """Exit 0 at the end, 2 with one plain line if the spec makes no ingresses."""
    try:
        spec = msgspec.json.decode(sys.stdin.buffer.readline(), type=HollowSpec)
        if spec.ingresses < 1 or not 0 < spec.seconds < 86_400:
            raise ValueError(f"{spec.ingresses} ingresses for {spec.seconds} s")
        next(configs(spec))
    except ValueError as error:  # of msgspec and of the configuration alike
        print(f"fleetlab.hollow: {error}", file=sys.stderr)
        return 2
    with asyncio.Runner(loop_factory=CountingLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, CountingLoop)
        runner.run(_run(spec, loop))
    return 0


if __name__ == "__main__":
    sys.exit(main())
