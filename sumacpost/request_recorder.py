"""The events of a request's life, in the form in which the recorder keeps and logs them."""

from __future__ import annotations

from sumacpost.clock import Clock
from sumacpost.diagnostics.event_recorder import EventKind, EventRecorder
from sumacpost.model import NotSentReason, Outcome, SendReason
from sumacpost.pending_request import ProxiedRequest
from sumacpost.upstream.attempt import Attempt


class RequestRecorder:
    """Records what becomes of requests; each method is one event."""

    def __init__(self, events: EventRecorder, clock: Clock) -> None:
        self._events = events
        self._clock = clock

    def record_accepted(self, pending: ProxiedRequest, draining: bool) -> None:
        """The ingress has taken a request, and owes it a response."""
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
        """A drain has started while a request is pending."""
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
        """The client has left."""
        self._events.record(
            EventKind.REQUEST_CANCELLED,
            "client_left",
            pending.request.id,
            "attempts=%d",
            len(pending.attempts),
        )

    def record_concluded(self, pending: ProxiedRequest, status: int, reason: str) -> None:
        """The final response has been handed to the client's connection."""
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
        """An attempt has begun to look for a connection."""
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
        self, pending: ProxiedRequest, attempt: Attempt, reason: NotSentReason
    ) -> None:
        """An attempt was not written, as something has changed since it was chosen."""
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
        """An attempt has its outcome."""
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
