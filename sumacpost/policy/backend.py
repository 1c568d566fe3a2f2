"""A gateway's state for one backend: attempts in flight, latency inflation and recent work."""

from dataclasses import dataclass
from math import inf

from sumacpost.model import Endpoint, Settings
from sumacpost.policy.latency import LatencyInflation


@dataclass(slots=True)
class InFlightAttempt:
    """An attempt that has not ended. Times are in milliseconds.

    Attributes:
        sent_at: when the attempt was sent.
        work_ms: the expected time of the request on an idle backend.
        outstanding_requests: the result of LoadBalancer.outstanding_requests for its backend when
            the attempt was sent; the attempt itself is included.
        request_class: the index of the request's class in the settings.
        overdue_at: the time from which the attempt is overdue.
    """

    sent_at: float
    work_ms: float
    outstanding_requests: float
    request_class: int
    overdue_at: float


class RecentWork:
    """The work sent to a backend within a sliding window that ends now, by attempt."""

    __slots__ = ("_sent", "_total_ms")

    def __init__(self) -> None:
        self._sent: dict[tuple[int, int], tuple[float, float]] = {}  # send time, work; oldest first
        self._total_ms = 0.0

    def add(self, attempt: tuple[int, int], now: float, work_ms: float) -> None:
        """Record an attempt (request and attempt number); one already recorded is moved to now."""
        self._drop(attempt)
        self._sent[attempt] = (now, work_ms)
        self._total_ms += work_ms

    def total(self, since: float) -> float:
        """Return the work sent at `since` or later, in ms, and discard older entries."""
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
    """The state that this gateway keeps for one incarnation of a backend."""

    def __init__(self, endpoint: Endpoint, classes: int) -> None:
        self.endpoint = endpoint
        self.in_flight: dict[tuple[int, int], InFlightAttempt] = {}  # by request and attempt number
        self.outstanding_work_ms = 0.0  # sum over the attempts in flight
        self.inflation_by_class = [LatencyInflation() for _ in range(classes)]
        self.responded_at = -inf  # time of the last response on any connection
        self.recent_work = RecentWork()  # recorded only while the backend is warming up
        self.slow_start_key = (-1, 0, 0)  # period, gateways and rank that slow_start_share is for
        self.slow_start_share = 0  # requests of mean work that this gateway may send in a window

    def add_attempt(self, request: int, number: int, attempt: InFlightAttempt) -> None:
        """Record an attempt that this gateway is sending."""
        self.in_flight[request, number] = attempt
        self.outstanding_work_ms += attempt.work_ms

    def remove_attempt(self, request: int, number: int) -> InFlightAttempt | None:
        """Remove an attempt that has ended and return it, or None if it is unknown."""
        attempt = self.in_flight.pop((request, number), None)
        if attempt is not None:
            remaining_ms = self.outstanding_work_ms - attempt.work_ms
            self.outstanding_work_ms = max(0.0, remaining_ms) if self.in_flight else 0.0
        return attempt

    def capacity_fraction(self, now: float, settings: Settings) -> float:
        """Return the guaranteed fraction of the full capacity, from the time since the start.

        It rises linearly from Settings.initial_capacity to 1 within Settings.slow_start_ms.
        """
        age_ms = now - self.endpoint.up_since_ms
        if not self.endpoint.up_since_ms or age_ms >= settings.slow_start_ms:
            return 1.0
        initial = settings.initial_capacity
        return initial + (1 - initial) * max(0.0, age_ms / settings.slow_start_ms)
