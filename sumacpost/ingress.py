"""The one bridge between sockets and gateway: events go in, actions are carried out."""

from __future__ import annotations

import asyncio
import logging
import time
from dataclasses import dataclass, field, replace
from math import inf
from typing import Protocol

from sumacpost.config import Config
from sumacpost.counter.client import CounterClient
from sumacpost.diagnostics.event_recorder import EventKind, EventRecorder
from sumacpost.discovery.endpoint_list import AddressByBackend
from sumacpost.errors import RequestError
from sumacpost.http1 import Response
from sumacpost.model import (
    Action,
    AddToCounter,
    AttemptEnded,
    Cancel,
    DrainStarted,
    EndpointListUpdate,
    Event,
    Fail,
    Outcome,
    Reject,
    RequestCancelled,
    Send,
    SetTimer,
    TimerFired,
)
from sumacpost.policy.gateway import Gateway
from sumacpost.policy.shutdown import ShutdownSchedule, shutdown_schedule
from sumacpost.server.request import Request
from sumacpost.upstream.attempt import Attempt
from sumacpost.upstream.load_report import LoadReportReader, read_billed_units
from sumacpost.upstream.pool import TIMER_SLACK_S
from sumacpost.upstream.pool_manager import PoolManager

log = logging.getLogger(__name__)

# Between the gateway's deadline and the client's. Measured: 99 of 100 responses leave within 0.7 ms
# of the backend's, within 2 ms beside a profiler; the rest is for the way from the client and back
# to it, and for a busy loop.
CLIENT_DEADLINE_MARGIN_MS = 20.0
# On the timeout that the settings name: the counter works on every call and replies to it in its
# turn, so a later reply is as true. Calls of many gateways queue there, for two or three timeouts.
COUNTER_TIMEOUT_FACTOR = 4.0
# Of the process: listening, discovery, counter, event loop, standard streams.
RESERVED_SOCKETS = 48
FORWARDED_RESPONSE_HEADERS = (b"content-type", b"content-encoding")

Headers = tuple[tuple[bytes, bytes], ...]


def max_connections_per_side(config: Config) -> int:
    """Return the bound on clients' connections, which is also that on backends' connections."""
    return (config.max_sockets - RESERVED_SOCKETS) // 2


class Clock:
    """Monotonic milliseconds on the scale of Unix time.

    The gateway names counters after the current minute, and all ingresses must name them alike: so
    the scale is the one that machines share, fixed at the start so that no later step is felt.
    """

    def __init__(self) -> None:
        self._offset_s = time.time() - time.monotonic()

    def now(self) -> float:
        """Return the time in milliseconds."""
        return (self._offset_s + time.monotonic()) * 1000


class PendingResponse(Protocol):
    """The client's side of a request."""

    received_at: float  # monotonic seconds: when the last byte of the request was read

    def send(self, status: int, body: bytes = b"", headers: Headers = ()) -> None:
        """Send the final response."""

    def client_disconnected(self) -> bool:
        """Return whether the client has gone, even if the loop has not learnt that yet."""


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that has no final response yet, or has attempts in flight."""

    number: int
    request: Request
    response: PendingResponse
    deadline: float  # in milliseconds, by the ingress's clock
    attempts: list[Attempt] = field(default_factory=list)
    timer: asyncio.TimerHandle | None = None


class Ingress:
    """Drives one gateway with what happens on the sockets."""

    def __init__(self, config: Config) -> None:
        settings = replace(
            config.settings,
            counter_timeout_ms=COUNTER_TIMEOUT_FACTOR * config.settings.counter_timeout_ms,
        )
        self.ready = False  # until there is a backend to send to
        self.recorder = EventRecorder()
        self.backends = PoolManager(
            max_connections=max_connections_per_side(config),
            connect_timeout_s=config.connect_timeout_s,
            backend_idle_timeout_s=config.backend_idle_timeout_s,
            on_attempt_ended=self._attempt_ended,
            max_body_bytes=config.max_response_bytes,
            is_wanted=self._is_wanted,
            recorder=self.recorder,
        )
        self.counter: CounterClient | None = None
        if settings.counter:
            timeout_s = settings.counter_timeout_ms / 1000
            self.counter = CounterClient(config.counter, timeout_s, self._handle)
        self._loop = asyncio.get_running_loop()
        self._clock = Clock()
        self._gateway = Gateway(settings, config.seed)
        self._load_reports = LoadReportReader(settings.report_fields)
        self._max_units = settings.max_units
        self._pending: dict[int, PendingRequest] = {}  # those without a final response
        self._pending_ids: set[bytes] = set()
        self._last_number = 0
        self._shutdown_schedule = shutdown_schedule(settings.classes)
        self._drain_deadline = inf  # in milliseconds, by the clock; for requests during a drain

    # Events: what has happened on the sockets.

    def update_endpoints(self, update: EndpointListUpdate, endpoints: AddressByBackend) -> None:
        """Apply an update of the endpoint list."""
        for entry in update.entries:
            self.backends.update_endpoint(
                entry.backend, endpoints[entry.backend], entry.up_since_ms
            )
        self._handle(update)
        self.backends.apply_update(update)
        self.ready = self.ready or bool(endpoints)

    def start_request(self, request: Request, response: PendingResponse) -> PendingRequest:
        """Take a request; it gets its one final response before the client's deadline.

        Raise RequestError if a request of the same id is pending: backends would take the one for a
        copy of the other.
        """
        if request.id in self._pending_ids:
            raise RequestError(409, "a request of this id is open")
        self._pending_ids.add(request.id)
        self._last_number += 1
        waited_ms = (time.monotonic() - response.received_at) * 1000
        # the gateway's deadline lies before the client's, so that it tries nothing in between
        client_left_ms = request.timeout_ms - waited_ms - CLIENT_DEADLINE_MARGIN_MS
        now = self._clock.now()
        arrival = request.arrival
        arrival.request = self._last_number
        arrival.time_left_ms = max(1.0, min(client_left_ms, self._drain_deadline - now))
        pending = PendingRequest(
            arrival.request, request, response, deadline=now + arrival.time_left_ms
        )
        self._pending[pending.number] = pending
        self.recorder.record(
            EventKind.REQUEST_ACCEPTED,
            "serving" if self._drain_deadline == inf else "draining",
            request.id,
            "number=%d class=%d time_left_ms=%.0f",
            pending.number,
            arrival.request_class,
            arrival.time_left_ms,
        )
        self._handle(arrival)
        if pending.number in self._pending:
            self._set_deadline_timer(pending, arrival.time_left_ms)
        return pending

    def _set_deadline_timer(self, pending: PendingRequest, time_left_ms: float) -> None:
        if pending.timer is not None:
            pending.timer.cancel()
        pending.timer = self._loop.call_later(
            time_left_ms / 1000 + TIMER_SLACK_S, self._deadline_reached, pending
        )

    def cancel_request(self, pending: PendingRequest) -> None:
        """Drop a request whose client has gone."""
        if self._remove_pending(pending):
            self.recorder.record(
                EventKind.REQUEST_CANCELLED,
                "client_left",
                pending.request.id,
                "attempts=%d",
                len(pending.attempts),
            )
            self._handle(RequestCancelled(pending.number))
            self._cancel_remaining(pending)

    def drain(self) -> ShutdownSchedule:
        """Give all requests a deadline before the process is killed; return the schedule."""
        schedule = self._shutdown_schedule
        now = self._clock.now()
        self._drain_deadline = now + schedule.respond_within_ms
        self.recorder.logs_live = True
        self.recorder.record(
            EventKind.DRAIN_PHASE,
            "started",
            "requests",
            "pending=%d respond_within_ms=%.0f",
            len(self._pending),
            schedule.respond_within_ms,
        )
        self._handle(DrainStarted(schedule.respond_within_ms))
        for pending in list(self._pending.values()):
            if pending.deadline > self._drain_deadline:
                pending.deadline = self._drain_deadline
                self._set_deadline_timer(pending, schedule.respond_within_ms)
            self.recorder.record(
                EventKind.DRAIN_PHASE,
                "request_pending",
                pending.request.id,
                "number=%d time_left_ms=%.0f attempts=%d",
                pending.number,
                pending.deadline - now,
                len(pending.attempts),
            )
        return schedule

    def _attempt_ended(self, attempt: Attempt, outcome: Outcome, response: Response | None) -> None:
        """Forward a good response, and report the outcome."""
        assert isinstance(attempt.owner, PendingRequest)
        pending = attempt.owner
        served = outcome is Outcome.OK and pending.number in self._pending
        units = 0.0
        report: tuple[float, ...] = ()
        if response is not None:
            if served:
                self._remove_pending(pending)
                self._record_conclusion(pending, 200, "served")
                pending.response.send(200, response.body, _forwarded_headers(response))
                billed_units = response.headers.get(b"billed-units", b"")
                units = read_billed_units(billed_units, self._max_units)
            report = self._load_reports.read(response.headers.get(b"server-load"))
        self._report_attempt_end(pending, attempt, outcome, units, report)
        if served:
            self._cancel_remaining(pending)

    def _deadline_reached(self, pending: PendingRequest) -> None:
        """Report attempts in flight as timed out; the gateway then decides on the response."""
        for attempt in pending.attempts:
            self._cancel_attempt(pending, attempt, Outcome.TIMEOUT)
        if pending.number in self._pending:
            log.error("request left without a response: request=%d", pending.number)
            self.recorder.log_history(pending.request.id)
            self._respond(pending, 504, "unanswered")

    def _report_attempt_end(
        self,
        pending: PendingRequest,
        attempt: Attempt,
        outcome: Outcome,
        units: float = 0.0,
        report: tuple[float, ...] = (),
    ) -> None:
        elapsed_ms = self._clock.now() - attempt.started_at_ms
        self.recorder.record(
            EventKind.ATTEMPT_ENDED,
            outcome.name.lower(),
            pending.request.id,
            "attempt=%d backend=%x elapsed_ms=%.0f",
            attempt.index,
            attempt.backend,
            elapsed_ms,
        )
        self._handle(
            AttemptEnded(
                pending.number,
                attempt.index,
                attempt.backend,
                outcome,
                elapsed_ms=elapsed_ms,
                concluded=pending.number not in self._pending,
                actual_units=units,
                report=report,
            )
        )

    # Actions: what the gateway decides.

    def _handle(self, event: Event) -> None:
        """Give the gateway an event and carry out its actions."""
        subject: Event | Action = event
        try:
            for subject in self._gateway.handle(self._clock.now(), event):
                self._carry_out(subject)
        except Exception:
            # the one request that the event or the action is about fails, and no other
            log.exception("event failed: subject=%s event=%s", subject, event)
            number = getattr(subject, "request", None) or getattr(event, "request", None)
            pending = self._pending.get(number or 0)
            if pending is not None:
                self._respond(pending, 500, "internal_error")

    def _carry_out(self, action: Action) -> None:
        match action:
            case Send():
                self._start_attempt(action)
            case Reject(number, retry_after_ms, reason):
                headers = _retry_after_header(retry_after_ms)
                self._respond(self._pending[number], 429, reason.value, headers)
            case Fail(number, reason):
                self._respond(self._pending[number], 502, reason.value)
            case Cancel(number, index):
                pending = self._pending.get(number)
                if pending is not None:  # else all its attempts end with it
                    self._cancel_attempt(pending, pending.attempts[index], Outcome.CANCELLED)
            case SetTimer(after_ms, label):
                self._loop.call_later(after_ms / 1000, self._handle, TimerFired(label))
            case AddToCounter(name, amount, ttl_ms):
                if self.counter is None:
                    raise RuntimeError("the gateway calls a counter that the settings do not name")
                self.counter.call(name, amount, ttl_ms)
            case _:
                raise NotImplementedError(f"the gateway asks for {action}")

    def _start_attempt(self, action: Send) -> None:
        pending = self._pending[action.request]
        now = self._clock.now()
        attempt = Attempt(
            pending,
            len(pending.attempts),
            action.backend,
            pending.request.encode(pending.deadline - now),
            now,
            pending.request.retryable,
        )
        pending.attempts.append(attempt)
        self.recorder.record(
            EventKind.ATTEMPT_STARTED,
            action.reason.value,
            pending.request.id,
            "attempt=%d backend=%x time_left_ms=%.0f",
            attempt.index,
            attempt.backend,
            pending.deadline - now,
        )
        # a request without a timer has just arrived, and its client has been looked at
        if pending.timer is None or self._is_wanted(attempt):
            self.backends.start(attempt)

    def _is_wanted(self, attempt: Attempt) -> bool:
        """Return whether an attempt is still to be written.

        Cancel its request if the client has gone: in a late turn of the loop a timer may come
        before the end of the client's connection.
        """
        assert isinstance(attempt.owner, PendingRequest)
        pending = attempt.owner
        if pending.response.client_disconnected():
            self.cancel_request(pending)
        return not attempt.ended

    def _respond(
        self, pending: PendingRequest, status: int, reason: str, headers: Headers = ()
    ) -> None:
        """Send the final response of the ingress itself, unless there has been one."""
        if self._remove_pending(pending):
            self._record_conclusion(pending, status, reason)
            pending.response.send(status, b"", headers)
            self._cancel_remaining(pending)

    def _record_conclusion(self, pending: PendingRequest, status: int, reason: str) -> None:
        self.recorder.record(
            EventKind.REQUEST_CONCLUDED,
            reason,
            pending.request.id,
            "status=%d time_left_ms=%.0f attempts=%d",
            status,
            pending.deadline - self._clock.now(),
            len(pending.attempts),
        )

    def _remove_pending(self, pending: PendingRequest) -> bool:
        """Note that no response is owed any more; return False if none was owed before."""
        if self._pending.pop(pending.number, None) is None:
            return False
        self._pending_ids.discard(pending.request.id)
        return True

    def _cancel_remaining(self, pending: PendingRequest) -> None:
        """Cancel the timer and the attempts that are left of a request with its final response."""
        if pending.timer is not None:
            pending.timer.cancel()
        for attempt in pending.attempts:
            self._cancel_attempt(pending, attempt, Outcome.CANCELLED)

    def _cancel_attempt(self, pending: PendingRequest, attempt: Attempt, outcome: Outcome) -> None:
        """Cancel an attempt and report its outcome, unless it has ended."""
        if not attempt.ended:
            self.backends.cancel(attempt)
            self._report_attempt_end(pending, attempt, outcome)


def _forwarded_headers(response: Response) -> Headers:
    headers = response.headers
    return tuple((name, headers[name]) for name in FORWARDED_RESPONSE_HEADERS if name in headers)


def _retry_after_header(retry_after_ms: float) -> Headers:
    """Return the Retry-After header in seconds; none for 0."""
    if retry_after_ms <= 0:
        return ()
    return ((b"Retry-After", b"%.3f" % (retry_after_ms / 1000)),)
