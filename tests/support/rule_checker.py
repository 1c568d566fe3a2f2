"""A checker of the five rules of the policy, from the events and actions of one gateway.

Each request gets one final response in time; it is rejected only if a retry is safe; an attempt is
sent or repeated only as the settings and the request class permit; no attempt is sent to a backend
that has been draining or removed for longer than the grace time; and no ceiling is exceeded.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from sumacpost.model import (
    Action,
    AttemptEnded,
    Cancel,
    DeduplicationScope,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    Fail,
    Idempotency,
    Outcome,
    Reject,
    RequestArrived,
    RequestCancelled,
    RequestClass,
    Send,
    Settings,
    UpdateKind,
)

Handler = Callable[[float, Event], list[Action]]


class RuleViolationError(AssertionError):
    """An action broke a rule; the message names the request or customer and the rule."""


@dataclass(slots=True)
class Attempt:
    """An attempt of a request."""

    sent_at: float
    backend: int
    outcome: Outcome | None = None  # None while the attempt is in flight

    @property
    def may_have_run(self) -> bool:
        """Whether the attempt may have run the request."""
        return self.outcome is None or not self.outcome.never_ran


@dataclass(slots=True)
class TrackedRequest:
    """A request as its client and the backends see it."""

    event: RequestArrived
    request_class: RequestClass
    deadline: float
    attempts: list[Attempt] = field(default_factory=list)
    concluded: bool = False

    @property
    def attempts_that_may_have_run(self) -> list[Attempt]:
        """The attempts that may have run the request."""
        return [attempt for attempt in self.attempts if attempt.may_have_run]

    @property
    def may_be_rejected(self) -> bool:
        """Whether a rejection is safe, after which the client may retry the request."""
        request_class = self.request_class
        if (
            not self.attempts_that_may_have_run
            or request_class.idempotency is Idempotency.IDEMPOTENT
        ):
            return True
        return (
            request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
            and request_class.deduplication_scope is DeduplicationScope.ALL
        )


class RuleChecker:
    """Passes events to one gateway and raises RuleViolationError if an action breaks a rule."""

    def __init__(self, handle: Handler, settings: Settings) -> None:
        self.handle = handle
        self.settings = settings
        self.requests: dict[int, TrackedRequest] = {}
        self.draining_since: dict[int, float] = {}  # time, by draining or removed backend
        # zone and cell of each backend that has ever been listed
        self.locations: dict[int, tuple[int, int]] = {}
        # time of the last check and units left then, by customer
        self.ceiling_balances: dict[int, tuple[float, float]] = {}

    def feed(self, now: float, event: Event) -> list[Action]:
        """Pass an event to the gateway, check its actions and return them."""
        self._observe(now, event)
        actions = self.handle(now, event)
        for action in actions:
            self._check(now, action)
        return actions

    def finish(self) -> None:
        """Check that every request has its final response."""
        for number, request in self.requests.items():
            self._require(request.concluded, f"request {number}: no final response")

    def _require(self, condition: bool, message: str) -> None:
        if not condition:
            raise RuleViolationError(message)

    def _observe(self, now: float, event: Event) -> None:
        match event:
            case RequestArrived():
                request_class = self.settings.classes[event.request_class]
                self.requests[event.request] = TrackedRequest(
                    event, request_class, now + event.time_left_ms
                )
            case RequestCancelled():
                self.requests[event.request].concluded = True
            case AttemptEnded() if event.request in self.requests:
                request = self.requests[event.request]
                request.attempts[event.attempt].outcome = event.outcome
                request.concluded |= event.concluded
            case EndpointListUpdate() if event.kind is not UpdateKind.FAILED:
                self._observe_list(now, event)

    def _observe_list(self, now: float, update: EndpointListUpdate) -> None:
        ready = {e.backend for e in update.entries if e.state is EndpointStatus.READY}
        for entry in update.entries:
            self.locations[entry.backend] = (entry.zone, entry.cell)
            if entry.state is not EndpointStatus.READY:
                self.draining_since.setdefault(entry.backend, now)
        if update.kind is not UpdateKind.CHANGES:
            for backend in self.locations.keys() - ready:
                self.draining_since.setdefault(backend, now)
        for backend in ready:
            self.draining_since.pop(backend, None)

    def _check(self, now: float, action: Action) -> None:
        if not isinstance(action, Send | Reject | Fail | Cancel):
            return
        request = self.requests[action.request]
        if isinstance(action, Cancel):
            return
        name = f"request {action.request}"
        self._require(not request.concluded, f"{name}: {action} after the final response")
        if isinstance(action, Send):
            self._check_attempt(now, action, request)
            return
        response_due_at = request.deadline + self.settings.response_grace_ms
        self._require(now <= response_due_at, f"{name}: final response after the deadline")
        if isinstance(action, Reject):
            self._require(request.may_be_rejected, f"{name}: rejected although it may have run")
        request.concluded = True

    def _check_attempt(self, now: float, send: Send, request: TrackedRequest) -> None:
        name = f"request {send.request}"
        in_flight = any(attempt.outcome is None for attempt in request.attempts)
        self._require(
            not in_flight or self.settings.hedging,
            f"{name}: two attempts in flight without hedging",
        )
        count = len(request.attempts)
        self._require(count < self.settings.max_attempts, f"{name}: too many attempts")
        self._require(send.backend in self.locations, f"{name}: sent to an unknown backend")
        since = self.draining_since.get(send.backend)
        self._require(
            since is None or now <= since + self.settings.drain_grace_ms,
            f"{name}: sent to a draining or removed backend",
        )
        if request.attempts_that_may_have_run:
            self._check_repeat(now, send, request)
        if not request.attempts:
            self._check_ceiling(now, request.event)
        request.attempts.append(Attempt(now, send.backend))

    def _check_repeat(self, now: float, send: Send, request: TrackedRequest) -> None:
        """Check an attempt that is sent while or after another one may have run."""
        name = f"request {send.request}"
        request_class = request.request_class
        self._require(
            request_class.idempotency is not Idempotency.NOT_IDEMPOTENT,
            f"{name}: not idempotent, but sent again although it may have run",
        )
        if request_class.idempotency is Idempotency.IDEMPOTENCY_KEY:
            first = request.attempts_that_may_have_run[0]
            self._require(
                now < first.sent_at + request_class.deduplication_window_ms,
                f"{name}: sent again after the deduplication window",
            )
            self._require(
                self._scope(send.backend, request_class)
                == self._scope(first.backend, request_class),
                f"{name}: sent again outside the deduplication scope",
            )

    def _scope(self, backend: int, request_class: RequestClass) -> int:
        """Return the zone or cell of the backend's deduplication group, or 0 for all backends."""
        zone, cell = self.locations[backend]
        match request_class.deduplication_scope:
            case DeduplicationScope.ALL:
                return 0
            case DeduplicationScope.ZONE:
                return zone
            case _:
                return cell

    def _check_ceiling(self, now: float, event: RequestArrived) -> None:
        """Deduct a request's units from this gateway's part of its customer's ceiling.

        The balance persists across restarts of the gateway.
        """
        plan = self.settings.plans[event.plan]
        if not plan.ceiling_rate:
            return
        capacity = plan.ceiling_burst / event.gateway_spread
        checked_at, units_left = self.ceiling_balances.get(event.customer, (now, capacity))
        refill = (now - checked_at) / 1000 * plan.ceiling_rate / event.gateway_spread
        units_left = min(capacity, units_left + refill) - event.units
        self._require(
            units_left >= -1e-6, f"customer {event.customer}: ceiling exceeded by {-units_left}"
        )
        self.ceiling_balances[event.customer] = now, units_left
