"""A synthetic ingress: real decisions, discovery and counter calls, with generated requests.

It has no sockets for clients and backends.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from dataclasses import dataclass

from sumacpost.config import Config
from sumacpost.counter.client import CounterClient
from sumacpost.discovery.endpoint_list import AddressByBackend
from sumacpost.discovery.watch import DiscoveryWatch
from sumacpost.model import (
    Action,
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

ATTEMPT_MS = 1.0  # elapsed time reported for every attempt
TIME_LEFT_MS = 2000.0  # time from the arrival of a request to its deadline
GATEWAY_SPREAD = 3  # number of ingresses that receive a customer's requests


@dataclass(slots=True)
class IngressCounts:
    """Counts of one ingress since its start."""

    arrived: int = 0
    sent: int = 0
    rejected: int = 0
    failed: int = 0
    changes: int = 0  # changed entries of the endpoint list
    counter_calls: int = 0
    counter_added: int = 0


@dataclass(frozen=True, slots=True)
class _Deadline:
    """The time of a request's deadline, on the gateway's clock."""

    at_ms: float
    request: int


class SyntheticIngress:
    """One ingress with generated requests: every attempt succeeds immediately."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self.gateway = Gateway(config.settings, config.seed)
        self.counts = IngressCounts()
        self.addresses: AddressByBackend = {}
        self.version = 0  # version of the endpoint list
        self._loop = asyncio.get_running_loop()
        self._clock_offset_s = time.time() - time.monotonic()
        self._max_notification_ms = 0.0
        self._open_requests: set[int] = set()
        self._deadlines: deque[_Deadline] = deque()
        self._events: deque[Event] = deque()
        self._handling = False
        self.discovery = DiscoveryWatch(
            config.discovery,
            config.endpoint_list_reader,
            config.initial_endpoints.version,
            self.update_endpoints,
            config.settings.drain_grace_ms / 1000,
        )
        self.counter: CounterClient | None = None
        if config.settings.counter:
            timeout_s = config.settings.counter_timeout_ms / 1000
            self.counter = CounterClient(config.counter, timeout_s, self._handle_counter_reply)

    def now_ms(self) -> float:
        """Return the gateway's time in ms: the monotonic clock, shifted once to Unix time."""
        return (self._clock_offset_s + time.monotonic()) * 1000

    def start(self) -> list[SupervisedTask]:
        """Start the long-running tasks of discovery and counter, and return them."""
        tasks = [SupervisedTask("discovery-watch", self.discovery.run)]
        counter = self.counter
        if counter is not None:
            tasks.append(SupervisedTask("counter-client", lambda: counter.run(asyncio.Event())))
        return tasks

    def update_endpoints(self, update: EndpointListUpdate, addresses: AddressByBackend) -> None:
        """Apply an update of the endpoint list."""
        if update.kind is UpdateKind.CHANGES:
            self.counts.changes += len(update.entries)
            self.addresses.update(addresses)
            self._record_notification_delay(update)
        else:
            self.addresses = dict(addresses)
        for entry in update.entries:
            if entry.state is EndpointStatus.GONE:
                self.addresses.pop(entry.backend, None)
        self.version = update.version
        self._handle(update)

    def pop_max_notification_ms(self) -> float:
        """Return and reset the longest time from a backend's start to an update about it, in ms."""
        longest_ms = self._max_notification_ms
        self._max_notification_ms = 0.0
        return longest_ms

    def _record_notification_delay(self, update: EndpointListUpdate) -> None:
        for entry in update.entries:
            if entry.up_since_ms:
                delay_ms = self.now_ms() - entry.up_since_ms
                self._max_notification_ms = max(self._max_notification_ms, delay_ms)

    def simulate_request(self, customer: int, request_class: int, units: float = 1.0) -> None:
        """Handle a generated request, which is concluded now or after the counter's reply."""
        self.counts.arrived += 1
        request = self.counts.arrived
        self._open_requests.add(request)
        self._deadlines.append(_Deadline(self.now_ms() + TIME_LEFT_MS, request))
        self._handle(
            RequestArrived(
                request,
                customer,
                0,
                request_class,
                units,
                self.config.settings.index,
                GATEWAY_SPREAD,
                TIME_LEFT_MS,
            )
        )

    def cancel_overdue(self) -> None:
        """Cancel the requests that still wait for the counter after their deadline."""
        now_ms = self.now_ms()
        while self._deadlines and self._deadlines[0].at_ms <= now_ms:
            request = self._deadlines.popleft().request
            if request in self._open_requests:
                self._open_requests.remove(request)
                self.counts.failed += 1
                self._handle(RequestCancelled(request))

    def _handle_counter_reply(self, event: CounterReplied) -> None:
        if event.outcome is Outcome.OK:
            self.counts.counter_added += 1
        self._handle(event)

    def _handle(self, event: Event) -> None:
        """Handle events one after another, including those caused by actions."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                for action in self.gateway.handle(self.now_ms(), self._events.popleft()):
                    self._execute_action(action)
        finally:
            self._handling = False

    def _execute_action(self, action: Action) -> None:
        match action:
            case Send(request, backend):
                self.counts.sent += 1
                self._open_requests.discard(request)
                self._events.append(AttemptEnded(request, 0, backend, Outcome.OK, ATTEMPT_MS, True))
            case Reject(request):
                self.counts.rejected += 1
                self._open_requests.discard(request)
            case Fail(request):
                self.counts.failed += 1
                self._open_requests.discard(request)
            case AddToCounter(name, amount, ttl_ms) if self.counter is not None:
                self.counts.counter_calls += 1
                self.counter.call(name, amount, ttl_ms)
            case SetTimer(after_ms, label):
                self._loop.call_later(after_ms / 1000, self._handle, TimerFired(label))
