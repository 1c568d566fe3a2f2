"""What is known of one backend."""

from dataclasses import dataclass
from math import inf

from sumacpost.model import Endpoint, Settings
from sumacpost.policy.latency import LatencyInflation


@dataclass(slots=True)
class InFlightAttempt:
    """An attempt that has not ended; times and work are milliseconds."""

    sent_at: float
    work: float
    outstanding: float  # requests that stood at its backend from here when it was sent, with it
    request_class: int
    overdue_at: float


class Backend:
    """What this gateway knows of one backend since its start."""

    def __init__(self, endpoint: Endpoint, classes: int) -> None:
        self.endpoint = endpoint
        self.in_flight: dict[tuple[int, int], InFlightAttempt] = {}  # by request and number
        self.outstanding_work = 0.0  # of these, in milliseconds
        self.inflation_by_class = [LatencyInflation() for _ in range(classes)]
        self.responded_at = -inf  # the last time, on any connection
        self.measured_capacity = 0.0  # requests a second, by its load reports
        self.slow_start_window = -1.0  # the last one for which a budget was set
        self.slow_start_work = 0.0  # what is left of that budget

    def begin(self, request: int, number: int, attempt: InFlightAttempt) -> None:
        """Take in an attempt of a request that is being sent from this gateway."""
        self.in_flight[request, number] = attempt
        self.outstanding_work += attempt.work
        self.slow_start_work -= attempt.work

    def end(self, request: int, number: int) -> InFlightAttempt | None:
        """Remove an attempt that has ended and return it; None if it is not known here."""
        attempt = self.in_flight.pop((request, number), None)
        if attempt is not None:
            left = self.outstanding_work - attempt.work
            self.outstanding_work = max(0.0, left) if self.in_flight else 0.0
        return attempt

    def warmth(self, now: float, settings: Settings) -> float:
        """Return the part of its capacity that is guaranteed at this time since its start."""
        age_ms = now - self.endpoint.up_since_ms
        if not self.endpoint.up_since_ms or age_ms >= settings.slow_start_ms:
            return 1.0
        initial = settings.initial_capacity
        return initial + (1 - initial) * max(0.0, age_ms / settings.slow_start_ms)
