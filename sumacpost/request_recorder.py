"""Records the lifecycle events of requests and attempts in the event recorder."""

from __future__ import annotations

from sumacpost.clock import Clock
from sumacpost.diagnostics.event_recorder import EventKind, EventRecorder
from sumacpost.model import DenialReason, Outcome, SendReason
from sumacpost.proxied_request import ProxiedRequest
from sumacpost.upstream.attempt import Attempt


class RequestRecorder:
    """Records the events of requests; each method records one kind of event."""

    def __init__(self, events: EventRecorder, clock: Clock) -> None:
        self._events = events
        self._clock = clock

    def record_accepted(self, pending: ProxiedRequest, draining: bool) -> None:
        """Record that the ingress has accepted a request, and owes it a response."""
        self._events.record(
            EventKind.REQUEST_ACCEPTED,
            "draining" if draining else "serving",
            pending.request.id,
            "number=%d class=%d time_left_ms=%.0f",
            pending.number,
            pending.request.arrival.request_class,
            self._time_left_ms(pending),
        )

    def record_pending_in_drain(self, pending: ProxiedRequest) -> None:
        """Record that a request was pending when a drain started."""
        self._events.record(
            EventKind.DRAIN_PHASE,
            "request_pending",
            pending.request.id,
            "number=%d time_left_ms=%.0f attempts=%d",
            pending.number,
            self._time_left_ms(pending),
            len(pending.attempts),
        )

    def record_cancelled(self, pending: ProxiedRequest) -> None:
        """Record that the client of a request has disconnected."""
        self._events.record(
            EventKind.REQUEST_CANCELLED,
            "client_left",
            pending.request.id,
            "attempts=%d",
            len(pending.attempts),
        )

    def record_concluded(self, pending: ProxiedRequest, status: int, reason: str) -> None:
        """Record that the final response is being passed to the client's connection."""
        self._events.record(
            EventKind.REQUEST_CONCLUDED,
            reason,
            pending.request.id,
            "status=%d time_left_ms=%.0f attempts=%d",
            status,
            self._time_left_ms(pending),
            len(pending.attempts),
        )

    def record_attempt_started(
        self, pending: ProxiedRequest, attempt: Attempt, reason: SendReason
    ) -> None:
        """Record that an attempt has been started and needs a connection."""
        self._events.record(
            EventKind.ATTEMPT_STARTED,
            reason.value,
            pending.request.id,
            "attempt=%d backend=%x time_left_ms=%.0f",
            attempt.index,
            attempt.backend,
            self._time_left_ms(pending),
        )

    def record_attempt_skipped(
        self, pending: ProxiedRequest, attempt: Attempt, reason: DenialReason
    ) -> None:
        """Record that an attempt was not written, because conditions changed after the decision."""
        self._events.record(
            EventKind.ATTEMPT_SKIPPED,
            reason.value,
            pending.request.id,
            "attempt=%d backend=%x",
            attempt.index,
            attempt.backend,
        )

    def record_attempt_ended(
        self, pending: ProxiedRequest, attempt: Attempt, outcome: Outcome, elapsed_ms: float
    ) -> None:
        """Record that an attempt has ended with an outcome."""
        self._events.record(
            EventKind.ATTEMPT_ENDED,
            outcome.name.lower(),
            pending.request.id,
            "attempt=%d backend=%x elapsed_ms=%.0f",
            attempt.index,
            attempt.backend,
            elapsed_ms,
        )

    def _time_left_ms(self, pending: ProxiedRequest) -> float:
        return pending.deadline - self._clock.now()
