"""A process of synthetic ingresses.

`python -m fleetlab.synthetic_process` reads one JSON line (SyntheticSpec) from standard input. It
writes one JSON line (SyntheticReport) per second, and one when the ingresses become ready. It exits
at the end of its standard input, on SIGTERM or SIGINT, or when its time has elapsed.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from collections.abc import Callable, Iterator
from random import Random

import msgspec

from fleetlab.counting_loop import CountingLoop
from fleetlab.process_stats import peak_mb, rss_mb
from fleetlab.site import config_text
from fleetlab.synthetic_ingress import IngressCounts, SyntheticIngress
from fleetlab.synthetic_messages import SyntheticReport, SyntheticSpec
from sumacpost.config import Config, read_config

REPORT_INTERVAL_S = 1.0
BATCH_INTERVAL_S = 0.05  # time between batches of requests
LIST_POLL_S = 0.01  # time between checks whether all ingresses have a list
PRELOAD_BATCH = 200  # customers served before other tasks can run
MAX_SECONDS = 86_400
EXIT_BAD_SPEC = 2
STDIN_READ_BYTES = 4096


def make_configs(spec: SyntheticSpec) -> Iterator[Config]:
    """Yield the configuration of each ingress, each read from a text of its own.

    Raise ConfigError if the spec results in an invalid configuration.
    """
    for index in range(spec.first_index, spec.first_index + spec.ingresses):
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


class SyntheticProcess:
    """The ingresses of one process, the load on them and the reports about them."""

    def __init__(self, spec: SyntheticSpec, loop: CountingLoop) -> None:
        self.spec = spec
        self._loop = loop
        self._started_at = loop.time()
        self._base_mb = rss_mb(os.getpid())
        self._base_cpu_s = time.process_time()
        self._random = Random(spec.seed + spec.first_index)
        self._decision_cpu_s = 0.0
        self._ready_s: float | None = None
        self.ingresses = [SyntheticIngress(config) for config in make_configs(spec)]

    async def run(self, stop: asyncio.Event) -> None:
        """Generate load and report every second until `stop` is set or the time has elapsed."""
        tasks = [task for ingress in self.ingresses for task in ingress.start()]
        load_task = asyncio.create_task(self._generate_load())
        try:
            async with asyncio.timeout(self.spec.seconds):
                await self._report_until(lambda: stop.is_set() or load_task.done())
        except TimeoutError:
            pass
        finally:
            for task in tasks:
                task.stop()
            if load_task.done() and not load_task.cancelled():
                load_task.result()  # raises the exception of a failed task
            load_task.cancel()

    async def _report_until(self, ended: Callable[[], bool]) -> None:
        while not ended():
            print(msgspec.json.encode(self.report()).decode(), flush=True)
            await self._wait_for_next_report(ended)

    async def _wait_for_next_report(self, ended: Callable[[], bool]) -> None:
        """Wait for the report interval, or until the ingresses become ready if that is earlier."""
        was_ready = self._ready_s is not None
        due_at = self._loop.time() + REPORT_INTERVAL_S
        while self._loop.time() < due_at and not ended():
            await asyncio.sleep(BATCH_INTERVAL_S)
            if self._ready_s is not None and not was_ready:
                return

    async def _generate_load(self) -> None:
        while not all(ingress.addresses for ingress in self.ingresses):
            await asyncio.sleep(LIST_POLL_S)
        await self._preload_customers()
        self._ready_s = self._loop.time() - self._started_at
        load_started_at = self._loop.time()
        requests_made = 0  # per ingress
        while True:
            await asyncio.sleep(BATCH_INTERVAL_S)
            requests_due = int((self._loop.time() - load_started_at) * self.spec.rate)
            before = time.thread_time()
            self._make_requests(requests_due - requests_made)
            self._decision_cpu_s += time.thread_time() - before
            requests_made = requests_due

    async def _preload_customers(self) -> None:
        for customer in range(self.spec.preloaded_customers):
            for ingress in self.ingresses:
                ingress.simulate_request(customer, customer % self.spec.classes)
            if customer % PRELOAD_BATCH == 0:
                await asyncio.sleep(0)

    def _make_requests(self, count: int) -> None:
        for ingress in self.ingresses:
            for _ in range(count):
                ingress.simulate_request(
                    self._random.randrange(self.spec.customers),
                    self._random.randrange(self.spec.classes),
                )
            ingress.cancel_overdue()

    def report(self) -> SyntheticReport:
        """Return the current sums."""
        received_bytes = self._loop.received_bytes
        config = self.ingresses[0].config
        entries = [len(ingress.addresses) for ingress in self.ingresses]
        counts = _sum_counts([ingress.counts for ingress in self.ingresses])
        return SyntheticReport(
            at_s=self._loop.time() - self._started_at,
            ready_s=self._ready_s,
            entries=sum(entries),
            min_entries=min(entries),
            discovery_bytes=received_bytes.get(config.discovery[1], 0),
            counter_bytes=received_bytes.get(config.counter[1], 0) if config.counter else 0,
            counter_calls=counts.counter_calls,
            counter_added=counts.counter_added,
            arrived=counts.arrived,
            sent=counts.sent,
            rejected=counts.rejected,
            failed=counts.failed,
            changes=counts.changes,
            max_notification_ms=max(
                [ingress.pop_max_notification_ms() for ingress in self.ingresses]
            ),
            base_mb=self._base_mb,
            rss_mb=rss_mb(os.getpid()),
            peak_mb=peak_mb(os.getpid()),
            cpu_s=time.process_time() - self._base_cpu_s,
            decision_cpu_s=self._decision_cpu_s,
        )


def _sum_counts(counts: list[IngressCounts]) -> IngressCounts:
    return IngressCounts(
        arrived=sum(each.arrived for each in counts),
        sent=sum(each.sent for each in counts),
        rejected=sum(each.rejected for each in counts),
        failed=sum(each.failed for each in counts),
        changes=sum(each.changes for each in counts),
        counter_calls=sum(each.counter_calls for each in counts),
        counter_added=sum(each.counter_added for each in counts),
    )


async def _run(spec: SyntheticSpec, loop: CountingLoop) -> None:
    stop = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    stdin = sys.stdin.fileno()

    def stop_at_end_of_input() -> None:
        if not os.read(stdin, STDIN_READ_BYTES):
            stop.set()

    loop.add_reader(stdin, stop_at_end_of_input)
    await SyntheticProcess(spec, loop).run(stop)


def _read_spec() -> SyntheticSpec:
    """Return the spec from standard input; raise ValueError if it is invalid."""
    spec = msgspec.json.decode(sys.stdin.buffer.readline(), type=SyntheticSpec)
    if spec.ingresses < 1 or not 0 < spec.seconds < MAX_SECONDS:
        raise ValueError(f"invalid spec: {spec.ingresses} ingresses for {spec.seconds} s")
    next(make_configs(spec))
    return spec


def main() -> int:
    """Return 0 at the end, or 2 after one line on standard error if the spec is invalid."""
    try:
        spec = _read_spec()
    except ValueError as error:  # base class of msgspec's errors and of ConfigError
        print(f"fleetlab.synthetic_process: {error}", file=sys.stderr)
        return EXIT_BAD_SPEC
    with asyncio.Runner(loop_factory=CountingLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, CountingLoop)
        runner.run(_run(spec, loop))
    return 0


if __name__ == "__main__":
    sys.exit(main())
