"""The only link between sockets and gateway: passes events to it and executes its actions."""

from __future__ import annotations

import logging
import time
from dataclasses import replace
from functools import partial
from math import inf

from sumacpost.clock import TIMER_SLACK_S, Clock
from sumacpost.config import Config
from sumacpost.counter.client import CounterClient
from sumacpost.diagnostics.event_recorder import EventKind, EventRecorder
from sumacpost.discovery.endpoint_list import AddressByBackend
from sumacpost.errors import RequestError
from sumacpost.http1 import Response
from sumacpost.memory_budget import MemoryBudget
from sumacpost.model import (
    Action,
    AddToCounter,
    AttemptEnded,
    Cancel,
    DeadlineReached,
    DenialReason,
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
from sumacpost.proxied_request import Headers, ProxiedRequest, ResponseChannel
from sumacpost.request_recorder import RequestRecorder
from sumacpost.response_headers import forwarded_headers, retry_after_header
from sumacpost.server.request import Request
from sumacpost.timer import Timer
from sumacpost.turn_scheduler import TurnScheduler
from sumacpost.upstream.attempt import Attempt
from sumacpost.upstream.load_report import LoadReportReader, read_billed_units
from sumacpost.upstream.pool_manager import PoolManager, UpstreamLimits

log = logging.getLogger(__name__)

# How far the gateway's deadline lies before the client's: allows for the network time from and to
# the client, and for a busy event loop.
CLIENT_DEADLINE_MARGIN_MS = 20.0
# Applied to the counter timeout of the settings. The counter processes every call and replies in
# order, so a late reply is as valid as an early one. The calls of many gateways queue at the
# counter, for two or three timeouts.
COUNTER_TIMEOUT_FACTOR = 4.0
# Most hedge timers fire for requests that already have their response, so they are kept cheap: up
# to this lateness the timer does not wait for the sockets to be read.
HEDGE_TIMER_LATENESS_S = 0.005


class Ingress:
    """Passes socket events to one gateway and executes the gateway's actions on the sockets."""

    def __init__(self, config: Config) -> None:
        settings = replace(
            config.settings,
            counter_timeout_ms=COUNTER_TIMEOUT_FACTOR * config.settings.counter_timeout_ms,
        )
        self.ready = False  # True once a backend has been listed
        self.recorder = EventRecorder()
        self.memory = MemoryBudget(config.memory_limits)
        self.turns = TurnScheduler()
        self.pool_manager = PoolManager(
            UpstreamLimits(
                max_connections=config.max_connections_per_side,
                connect_timeout_s=config.connect_timeout_s,
                backend_idle_timeout_s=config.backend_idle_timeout_s,
                max_body_bytes=config.max_response_bytes,
            ),
            on_attempt_ended=self._on_attempt_ended,
            may_write=self._may_write,
            recorder=self.recorder,
            memory=self.memory,
            turns=self.turns,
        )
        self.counter: CounterClient | None = None
        if settings.counter:
            timeout_s = settings.counter_timeout_ms / 1000
            self.counter = CounterClient(config.counter, timeout_s, self._handle, self.turns)
        self._clock = Clock()
        self._request_recorder = RequestRecorder(self.recorder, self._clock)
        self._gateway = Gateway(settings, config.seed, config.memory_limits.customers)
        self._load_reports = LoadReportReader(settings.report_fields)
        self._max_units = settings.max_units
        self._pending: dict[int, ProxiedRequest] = {}  # requests without a final response
        self._pending_ids: set[bytes] = set()
        self._last_number = 0
        self._shutdown_schedule = shutdown_schedule(settings.classes)
        self._drain_deadline = inf  # latest deadline of requests during a drain, in ms by _clock

    # Events: what happens on the sockets.

    def update_endpoints(self, update: EndpointListUpdate, addresses: AddressByBackend) -> None:
        """Apply an endpoint list update to the gateway and to the connection pools."""
        for entry in update.entries:
            self.pool_manager.update_address(
                entry.backend, addresses[entry.backend], entry.up_since_ms
            )
        self._handle(update)
        self.pool_manager.apply_update(update)
        self.ready = self.ready or bool(addresses)

    def start_request(self, request: Request, response: ResponseChannel) -> ProxiedRequest:
        """Accept a request, which gets exactly one final response before the client's deadline.

        Raise RequestError if a request with the same id is pending, because backends would treat
        one as a copy of the other, or if the open requests hold too much memory.
        """
        if request.id in self._pending_ids:
            raise RequestError(409, "a request of this id is open")
        if not self.memory.reserve_request(request.held_bytes):
            raise RequestError(429, "the open requests hold too much memory")
        self._pending_ids.add(request.id)
        self._last_number += 1
        waited_ms = (time.monotonic() - response.received_at) * 1000
        # The gateway's deadline is earlier than the client's; it starts no attempt between the two.
        client_left_ms = request.timeout_ms - waited_ms - CLIENT_DEADLINE_MARGIN_MS
        now = self._clock.now()
        arrival = request.arrival
        arrival.request = self._last_number
        arrival.time_left_ms = max(1.0, min(client_left_ms, self._drain_deadline - now))
        pending = ProxiedRequest(
            arrival.request, request, response, deadline=now + arrival.time_left_ms
        )
        self._pending[pending.number] = pending
        self._request_recorder.record_accepted(pending, draining=self._drain_deadline < inf)
        self._handle(arrival)
        if pending.number in self._pending:
            self._set_deadline_timer(pending, arrival.time_left_ms)
        return pending

    def _set_deadline_timer(self, pending: ProxiedRequest, time_left_ms: float) -> None:
        if pending.timer is not None:
            pending.timer.cancel()
        pending.timer = Timer(time_left_ms / 1000 + TIMER_SLACK_S, self._on_deadline, pending)

    def cancel_request(self, pending: ProxiedRequest) -> None:
        """Cancel a request whose client has disconnected."""
        if self._remove_pending(pending):
            self._request_recorder.record_cancelled(pending)
            self._handle(RequestCancelled(pending.number))
            self._cancel_remaining(pending)

    def drain(self) -> ShutdownSchedule:
        """Limit all deadlines to a time before the process is killed; return the schedule."""
        schedule = self._shutdown_schedule
        self._drain_deadline = self._clock.now() + schedule.respond_within_ms
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
            self._request_recorder.record_pending_in_drain(pending)
        return schedule

    def record_unanswered_requests(self) -> None:
        """Record a violation for each request that has no response at the end of the drain."""
        for pending in self._pending.values():
            self.recorder.record_violation("unanswered_at_end", pending.request.id)

    def _on_attempt_ended(
        self, attempt: Attempt, outcome: Outcome, response: Response | None
    ) -> None:
        """Forward a successful response, and report the outcome of the attempt."""
        assert isinstance(attempt.owner, ProxiedRequest)
        pending = attempt.owner
        served = outcome is Outcome.OK and pending.number in self._pending
        units = 0.0
        report: tuple[float, ...] = ()
        if response is not None:
            if served:
                self._remove_pending(pending)
                self._request_recorder.record_concluded(pending, 200, "served")
                pending.response.send(200, response.body, forwarded_headers(response))
                billed_units = response.headers.get(b"billed-units", b"")
                units = read_billed_units(billed_units, self._max_units)
            report = self._load_reports.read(response.headers.get(b"server-load"))
        self._report_attempt_end(pending, attempt, outcome, units, report)
        if served:
            self._cancel_remaining(pending)

    def _on_deadline(self, pending: ProxiedRequest) -> None:
        """Report attempts in flight as timed out, then let the gateway decide on the response."""
        for attempt in pending.attempts:
            self._cancel_attempt(pending, attempt, Outcome.TIMEOUT)
        if pending.number in self._pending:
            self._handle(DeadlineReached(pending.number))
        if pending.number in self._pending:
            self.recorder.record_violation("unanswered_at_deadline", pending.request.id)
            self._respond(pending, 504, "unanswered")

    def _report_attempt_end(
        self,
        pending: ProxiedRequest,
        attempt: Attempt,
        outcome: Outcome,
        units: float = 0.0,
        report: tuple[float, ...] = (),
    ) -> None:
        attempt.outcome = outcome
        elapsed_ms = self._clock.now() - attempt.started_at_ms
        self._request_recorder.record_attempt_ended(pending, attempt, outcome, elapsed_ms)
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
        attempt.forget_request()

    # Actions: what the gateway requests.

    def _handle(self, event: Event) -> None:
        """Pass an event to the gateway and execute the actions that it returns."""
        subject: Event | Action = event
        try:
            for subject in self._gateway.handle(self._clock.now(), event):
                self._execute_action(subject)
        except Exception:
            # Only the request that the event or the action concerns fails.
            log.exception("event failed: subject=%s event=%s", subject, event)
            number = getattr(subject, "request", None) or getattr(event, "request", None)
            pending = self._pending.get(number or 0)
            if pending is not None:
                self._respond(pending, 500, "internal_error")

    def _execute_action(self, action: Action) -> None:
        match action:
            case Send():
                self._start_attempt(action)
            case Reject(number, retry_after_ms, reason):
                headers = retry_after_header(retry_after_ms)
                self._respond(self._pending[number], 429, reason.value, headers)
            case Fail(number, reason):
                self._respond(self._pending[number], 502, reason.value)
            case Cancel(number, index):
                pending = self._pending.get(number)
                if pending is not None:  # otherwise its attempts are cancelled on conclusion
                    self._cancel_attempt(pending, pending.attempts[index], Outcome.CANCELLED)
            case SetTimer(after_ms, label):
                event = TimerFired(label)
                Timer(
                    after_ms / 1000,
                    self._handle,
                    event,
                    tolerated_lateness_s=HEDGE_TIMER_LATENESS_S,
                )
            case AddToCounter(name, amount, ttl_ms):
                if self.counter is None:
                    raise RuntimeError("the gateway uses the counter, but the settings have none")
                self.counter.call(name, amount, ttl_ms)
            case _:
                raise NotImplementedError(f"unsupported action of the gateway: {action}")

    def _start_attempt(self, action: Send) -> None:
        pending = self._pending[action.request]
        attempt = Attempt(
            pending,
            len(pending.attempts),
            action.backend,
            partial(self._encode, pending),
            self._clock.now(),
            pending.request.retryable,
        )
        pending.attempts.append(attempt)
        self._request_recorder.record_attempt_started(pending, attempt, action.reason)
        if self._may_write(attempt):
            self.pool_manager.start(attempt)

    def _encode(self, pending: ProxiedRequest) -> bytes:
        """Encode the request for a backend, with the time that is left until the deadline now."""
        return pending.request.encode(pending.deadline - self._clock.now())

    def _may_write(self, attempt: Attempt) -> bool:
        """Return whether an attempt may be written now; if not, end the attempt or its request.

        Called when the attempt starts, and again once a connection for it is established. The
        request is cancelled if the client has disconnected: in a late iteration of the event loop a
        timer may run before the end of the client's connection is read.
        """
        if attempt.ended:  # with another attempt of its request, since its pool listed it
            return False
        assert isinstance(attempt.owner, ProxiedRequest)
        pending = attempt.owner
        # A request without a timer has just arrived; its client was checked on arrival.
        if pending.timer is not None and pending.response.client_disconnected():
            self.cancel_request(pending)
        if attempt.ended:
            return False
        reason = self._gateway.write_denial_reason(self._clock.now(), pending.number, attempt.index)
        if reason is None and not attempt.retryable and pending.other_attempt_may_have_run(attempt):
            # Checked here independently of the gateway: a fault in the gateway's state must not
            # cause a second execution of the request.
            reason = DenialReason.SECOND_COPY
            self.recorder.record_violation("second_execution", pending.request.id)
        if reason is None:
            return True
        if reason is DenialReason.CONCLUDED and pending.number in self._pending:
            self.recorder.record_violation("forgotten_by_policy", pending.request.id)
            self._respond(pending, 500, "internal_error")
            return False
        self._request_recorder.record_attempt_skipped(pending, attempt, reason)
        self.pool_manager.skip(attempt)
        return False

    def _respond(
        self, pending: ProxiedRequest, status: int, reason: str, headers: Headers = ()
    ) -> None:
        """Send a final response of the ingress itself, unless one has been sent."""
        if self._remove_pending(pending):
            self._request_recorder.record_concluded(pending, status, reason)
            pending.response.send(status, b"", headers)
            self._cancel_remaining(pending)

    def _remove_pending(self, pending: ProxiedRequest) -> bool:
        """Mark a request as concluded; return False if it was concluded before."""
        if self._pending.pop(pending.number, None) is None:
            return False
        self._pending_ids.discard(pending.request.id)
        self.memory.release_request(pending.request.held_bytes)
        return True

    def _cancel_remaining(self, pending: ProxiedRequest) -> None:
        """Cancel the timer and the remaining attempts of a concluded request."""
        if pending.timer is not None:
            pending.timer.cancel()
        for attempt in pending.attempts:
            self._cancel_attempt(pending, attempt, Outcome.CANCELLED)

    def _cancel_attempt(self, pending: ProxiedRequest, attempt: Attempt, outcome: Outcome) -> None:
        """Cancel an attempt and report its outcome, unless the attempt has ended."""
        if not attempt.ended:
            self.pool_manager.cancel(attempt)
            self._report_attempt_end(pending, attempt, outcome)
