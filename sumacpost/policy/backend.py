"""What is known of one backend."""

from dataclasses import dataclass
from math import inf

from sumacpost.model import Endpoint, Settings
from sumacpost.policy.latency import LatencyInflation


@dataclass(slots=True)
class InFlightAttempt:
    """An attempt that has not ended; times and work are milliseconds."""

    sent_at: float
    work_ms: float
    outstanding_requests: (
        float  # requests that stood at its backend from here when it was sent, with it
    )
    request_class: int
    overdue_at: float


class RecentWork:
    """The work that was sent to a backend within a window that ends now, by attempt."""

    __slots__ = ("_sent", "_total_ms")

    def __init__(self) -> None:
        self._sent: dict[tuple[int, int], tuple[float, float]] = {}  # when, and ms; oldest first
        self._total_ms = 0.0

    def add(self, attempt: tuple[int, int], now: float, work_ms: float) -> None:
        """Take in an attempt, by request and number; one that is known counts from now on anew."""
        self._drop(attempt)
        self._sent[attempt] = (now, work_ms)
        self._total_ms += work_ms

    def total(self, since: float) -> float:
        """Return the work in milliseconds that was sent then or later; forget what was before."""
        while self._sent:
            oldest = next(iter(self._sent))
            if self._sent[oldest][0] >= since:
                break
            self._drop(oldest)
        return self._total_ms

    def _drop(self, attempt: tuple[int, int]) -> None:
        dropped = self._sent.pop(attempt, None)
        if dropped is not None:
            self._total_ms = self._total_ms - dropped[1] if self._sent else 0.0


class Backend:
    """What this gateway knows of one backend since its start."""

    def __init__(self, endpoint: Endpoint, classes: int) -> None:
        self.endpoint = endpoint
        self.in_flight: dict[tuple[int, int], InFlightAttempt] = {}  # by request and number
        self.outstanding_work_ms = 0.0  # of these, in milliseconds
        self.inflation_by_class = [LatencyInflation() for _ in range(classes)]
        self.responded_at = -inf  # the last time, on any connection
        self.recent_work = RecentWork()  # while it is warming up
        self.slow_start_key = (-1, 0, 0)  # period, gateways and rank that the share is for
        self.slow_start_share = 0  # requests that may be sent in a window

    def add_attempt(self, request: int, number: int, attempt: InFlightAttempt) -> None:
        """Take in an attempt of a request that is being sent from this gateway."""
        self.in_flight[request, number] = attempt
        self.outstanding_work_ms += attempt.work_ms

    def remove_attempt(self, request: int, number: int) -> InFlightAttempt | None:
        """Remove an attempt that has ended and return it; None if it is not known here."""
        attempt = self.in_flight.pop((request, number), None)
        if attempt is not None:
            left = self.outstanding_work_ms - attempt.work_ms
            self.outstanding_work_ms = max(0.0, left) if self.in_flight else 0.0
        return attempt

    def capacity_fraction(self, now: float, settings: Settings) -> float:
        """Return the part of its capacity that is guaranteed at this time since its start."""
        age_ms = now - self.endpoint.up_since_ms
        if not self.endpoint.up_since_ms or age_ms >= settings.slow_start_ms:
            return 1.0
        initial = settings.initial_capacity
        return initial + (1 - initial) * max(0.0, age_ms / settings.slow_start_ms)
