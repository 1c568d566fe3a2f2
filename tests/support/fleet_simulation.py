"""A simulation, in virtual time, of many gateways and a fleet with some cold backends."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from heapq import heappop, heappush
from itertools import accumulate, count
from math import inf
from random import Random
from typing import Any

from sumacpost.model import (
    AttemptEnded,
    Endpoint,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    Fail,
    Idempotency,
    Outcome,
    Reject,
    RequestClass,
    Send,
    SizeMeaning,
    UpdateKind,
)
from sumacpost.policy.gateway import Gateway
from tests.support.builders import START_MS, UNLIMITED_PLAN, request_arrived, settings
from tests.support.simulated_backend import (
    LARGE_FRACTION,
    LARGE_UNITS,
    MEAN_MS,
    UNIT_MS,
    Scenario,
    SimulatedBackend,
    SimulatedRequest,
)

CLASSES = (
    RequestClass(1200, 4000, 3, Idempotency.IDEMPOTENT),
    RequestClass(1800, 4000, 5, Idempotency.IDEMPOTENT),
)
# Shape of the gamma distribution of work, which varies a little less than an exponential one.
WORK_SHAPE = 2.0
NETWORK_MS = 1.0  # mean one-way latency
SIZE_ERROR = 0.3  # largest relative error of an approximate size
REPORT_ERROR = 0.1  # largest relative error of the throughput in a load report
REPORT_FIELDS = ("backlog", "throughput", "utilization")
QUEUE_PER_CORE = 20  # longest queue of a backend, in requests per core
MAX_EVENTS = 300_000  # far more than any of the tests needs


class FleetSimulation:
    """A simulation with one event queue, a heap, and one seeded random generator.

    Every other cold backend is new; the rest were drained and return under their old names. Each
    gateway is notified of the start after its own delay, the late ones (three in ten unless the
    scenario says otherwise) after a second or more. Clients send at a rate that does not depend on
    responses, and to some gateways several times as much as to others. With `hide_start` the
    endpoint list does not show the start of cold backends; `shown_settings` replace settings of the
    gateways, but not of the simulated backends.
    """

    def __init__(
        self, scenario: Scenario, seed: int, hide_start: bool = False, **shown_settings: Any
    ) -> None:
        self.scenario = scenario
        self.random = Random(seed)
        self.now = START_MS
        self.cold_start_at = START_MS + scenario.learning_ms
        self.end = self.cold_start_at + scenario.slow_start_ms
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.event_order = count()
        self.request_numbers = count(1)
        self.notified_at = [inf] * scenario.gateways  # time at which each knows of the start
        self.pending: dict[int, SimulatedRequest] = {}
        self.requests_sent = 0
        self.requests_served = 0
        names = self.random.sample(range(1, 10_000), scenario.backends)
        self.backend_by_name = {
            name: SimulatedBackend(
                name,
                scenario,
                scenario.machine(position),
                scenario.machine(position).speed * self.random.uniform(0.85, 1.15),
            )
            for position, name in enumerate(names)
        }
        self.cold = [self.backend_by_name[name] for name in names[: scenario.cold]]
        warm = names[scenario.cold :]
        warm_backends = [self.backend_by_name[name] for name in warm]
        warm_capacity = sum(backend.machine.cores * backend.speed for backend in warm_backends)
        self.mean_gap_ms = MEAN_MS / scenario.load / warm_capacity
        self.gateways = [
            Gateway(self._settings(index, shown_settings), self.random.getrandbits(32))
            for index in range(scenario.gateways)
        ]
        self.cumulative_shares = list(
            accumulate(self.random.choice((0.5, 0.5, 1.0, 2.0)) for _ in self.gateways)
        )
        self._schedule_lists(
            warm=warm,
            new=names[: scenario.cold : 2],
            returning=names[1 : scenario.cold : 2],
            up_since=0.0 if hide_start else self.cold_start_at,
        )
        for backend in self.cold:
            self._schedule(self.cold_start_at, backend.start, self.cold_start_at)
        self._schedule(START_MS, self._arrive)

    def run(self) -> FleetSimulation:
        """Run until the cold backends are warm, and return the simulation."""
        for _ in range(MAX_EVENTS):
            self.now, _, action, args = heappop(self.heap)
            if self.now >= self.end:
                return self
            action(*args)
        raise AssertionError(f"simulation did not end within {MAX_EVENTS} events")

    def peak_window_load(
        self, weight: Callable[[SimulatedRequest], float] = lambda request: request.expected_work
    ) -> float:
        """Return the highest load of a cold backend in any window, relative to the allowed load.

        By default a request counts with its expected work, from its class and units. Its actual
        work is unknown when it is sent, and a single large request may exceed the allowed load.
        """
        return max(backend.peak_window_load(weight) for backend in self.cold)

    def _settings(self, index: int, shown_settings: dict[str, Any]) -> Any:
        scenario = self.scenario
        return settings(
            **{
                "gateways": scenario.gateways,
                "index": index,
                "classes": CLASSES,
                "plans": (UNLIMITED_PLAN,),
                "max_attempts": 2,
                "initial_capacity": scenario.initial_capacity,
                "slow_start_ms": scenario.slow_start_ms,
                "overload_factor": scenario.overload_factor,
                "overload_window_ms": scenario.overload_window_ms,
                "max_units": LARGE_UNITS,
                "report_fields": REPORT_FIELDS if scenario.reports else (),
                "size_meaning": scenario.size_meaning,
                **shown_settings,
            }
        )

    def _schedule_lists(
        self, *, warm: list[int], new: list[int], returning: list[int], up_since: float
    ) -> None:
        """Schedule the endpoint list updates of each gateway."""
        first = EndpointListUpdate(UpdateKind.FULL, [self._entry(n) for n in [*warm, *returning]])
        draining = EndpointListUpdate(
            UpdateKind.CHANGES, [self._entry(n, EndpointStatus.DRAINING) for n in returning]
        )
        removed = EndpointListUpdate(
            UpdateKind.CHANGES, [self._entry(n, EndpointStatus.GONE) for n in returning]
        )
        started = [replace(self._entry(n), up_since_ms=up_since) for n in [*new, *returning]]
        changes = EndpointListUpdate(UpdateKind.CHANGES, started)
        full = EndpointListUpdate(UpdateKind.FULL, [*started, *(self._entry(n) for n in warm)])
        learning_ms = self.scenario.learning_ms
        for index in range(self.scenario.gateways):
            self._schedule(START_MS, self._handle, index, first)
            late = self.random.random() < self.scenario.late_fraction
            if not (late and self.scenario.late_gateways_assume_warm):
                self._schedule(START_MS + learning_ms * 0.5, self._handle, index, draining)
                self._schedule(START_MS + learning_ms * 0.9, self._handle, index, removed)
            delay = self.random.uniform(1000, 2500) if late else self.random.uniform(50, 600)
            self.notified_at[index] = self.cold_start_at + delay
            started_list = full if index % 2 else changes
            self._schedule(self.cold_start_at + delay, self._handle, index, started_list)

    def _entry(self, name: int, state: EndpointStatus = EndpointStatus.READY) -> Endpoint:
        """Return the entry of a backend in the endpoint list, as if it were warm."""
        backend = self.backend_by_name[name]
        size = backend.machine.size
        match self.scenario.size_meaning:
            case SizeMeaning.NONE:
                size = 1.0
            case SizeMeaning.APPROXIMATE:
                size *= self.random.uniform(1 - SIZE_ERROR, 1 + SIZE_ERROR)
            case SizeMeaning.AVAILABLE if backend not in self.cold:
                size /= 1 + self.random.uniform(0.0, 2.0)
        return Endpoint(name, state, kind=backend.machine.kind, size=size)

    def _schedule(self, when: float, action: Callable[..., None], *args: Any) -> None:
        heappush(self.heap, (when, next(self.event_order), action, args))

    def _arrive(self) -> None:
        """Send a request to a random gateway, and schedule the next request."""
        self._schedule(self.now + self.random.expovariate(1 / self.mean_gap_ms), self._arrive)
        number = next(self.request_numbers)
        class_index = self.random.randrange(len(CLASSES))
        (gateway,) = self.random.choices(
            range(len(self.gateways)), cum_weights=self.cumulative_shares
        )
        units = LARGE_UNITS if self.random.random() < LARGE_FRACTION else 1.0
        expected_work = UNIT_MS[class_index] * units / MEAN_MS
        actual_work = expected_work * self.random.gammavariate(WORK_SHAPE, 1 / WORK_SHAPE)
        request = SimulatedRequest(number, gateway, expected_work, actual_work)
        self.pending[number] = request
        self.requests_sent += 1
        deadline_ms = CLASSES[class_index].deadline_ms
        self._schedule(self.now + deadline_ms, self._time_out, request)
        self._handle(
            gateway,
            request_arrived(
                number, class_index, number % 997, units=units, time_left_ms=deadline_ms
            ),
        )

    def _handle(self, gateway: int, event: Event) -> None:
        """Pass an event to a gateway and carry out its actions."""
        for action in self.gateways[gateway].handle(self.now, event):
            match action:
                case Send(number, backend):
                    request = self.pending[number]
                    request.attempts += 1
                    request.backend = backend
                    request.sent_at = self.now
                    request.notified = self.now >= self.notified_at[gateway]
                    network_ms = NETWORK_MS * self.random.uniform(0.5, 1.5)
                    self._schedule(
                        self.now + network_ms, self._receive, self.backend_by_name[backend], request
                    )
                case Reject(number) | Fail(number):
                    del self.pending[number]
                case _:
                    raise AssertionError(f"action not allowed by the settings: {action}")

    def _receive(self, backend: SimulatedBackend, request: SimulatedRequest) -> None:
        """Receive an attempt at a backend; it counts as load even if the backend rejects it."""
        backend.arrivals.append((self.now, request))
        if backend.busy_cores < backend.machine.cores or not self.scenario.queues:
            self._begin_work(backend, request)
        elif len(backend.queue) < QUEUE_PER_CORE * backend.machine.cores:
            backend.queue.append(request)
        else:
            self._schedule(self.now + NETWORK_MS, self._respond, backend, request, Outcome.REJECTED)

    def _begin_work(self, backend: SimulatedBackend, request: SimulatedRequest) -> None:
        backend.change_busy_cores(self.now, 1)
        work_ms = request.actual_work * backend.machine.cores / backend.throughput(self.now)
        self._schedule(self.now + work_ms, self._finish_work, backend, request)

    def _finish_work(self, backend: SimulatedBackend, request: SimulatedRequest) -> None:
        backend.change_busy_cores(self.now, -1)
        backend.requests_served += 1
        if backend.queue:
            self._begin_work(backend, backend.queue.popleft())
        self._schedule(self.now + NETWORK_MS, self._respond, backend, request, Outcome.OK)

    def _respond(
        self, backend: SimulatedBackend, request: SimulatedRequest, outcome: Outcome
    ) -> None:
        """Respond with a load report, unless the request has timed out."""
        if request.number in self.pending:
            self.requests_served += outcome is Outcome.OK
            error_factor = self.random.uniform(1 - REPORT_ERROR, 1 + REPORT_ERROR)
            report = backend.load_report(self.now, error_factor) if self.scenario.reports else ()
            self._end_attempt(request, outcome, outcome is Outcome.OK, report)

    def _time_out(self, request: SimulatedRequest) -> None:
        if request.number in self.pending:
            self._end_attempt(request, Outcome.TIMEOUT, True, ())

    def _end_attempt(
        self,
        request: SimulatedRequest,
        outcome: Outcome,
        concluded: bool,
        report: tuple[float, ...],
    ) -> None:
        if concluded:
            del self.pending[request.number]
        ended = AttemptEnded(
            request.number,
            request.attempts - 1,
            request.backend,
            outcome,
            self.now - request.sent_at,
            concluded,
            report=report,
        )
        self._handle(request.gateway, ended)
