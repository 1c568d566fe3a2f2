"""The virtual queue of rejected clients from DIBA, with names as in Algorithm 6 of its paper."""

from collections import deque
from math import sqrt

# Bound on the wait: otherwise clients that retry immediately make the queue grow without limit.
MAX_WAIT_MS = 10_000.0


class ReturnQueue:
    """The return times of one customer's rejected clients, and the units its requests use."""

    __slots__ = ("appointments", "end_of_queue_time", "requests", "squared_unit_sum", "unit_sum")

    def __init__(self, now: float) -> None:
        self.end_of_queue_time = now
        self.appointments: deque[float] | None = None  # return times; None before the first
        self.requests = 0  # answered requests
        self.unit_sum = 0.0
        self.squared_unit_sum = 0.0

    def record_units(self, units: float) -> None:
        """Record the units that an answered request has used."""
        self.requests += 1
        self.unit_sum += units
        self.squared_unit_sum += units * units

    def record_return(self) -> None:
        """Remove the first appointment, as its client has retried."""
        if self.appointments:
            self.appointments.popleft()

    def schedule(self, now: float, units: float, fill_rate: float, no_show_ms: float) -> float:
        """Give a rejected client a return time; return the wait until then, in ms.

        units: the units of the client's request.
        fill_rate: the units per second that the bucket gains; 0: the quota has no limit.
        no_show_ms: an appointment this long overdue is dropped.
        """
        if self.appointments is None:
            self.appointments = deque()
        while self.appointments and self.appointments[0] <= now - no_show_ms:
            self.appointments.popleft()
        queue_interval = 1000 / self._desired_return_rate(units, fill_rate)
        client_wait_duration = queue_interval * (len(self.appointments) + 1)
        self.end_of_queue_time = max(self.end_of_queue_time, now)
        if now + client_wait_duration - self.end_of_queue_time < queue_interval:
            return_time = now + client_wait_duration
            self.end_of_queue_time = max(self.end_of_queue_time, return_time)
        else:
            return_time = self.end_of_queue_time + queue_interval
            self.end_of_queue_time = return_time
        if return_time > now + MAX_WAIT_MS:
            # The client will not wait that long, so it gets no place in the queue.
            self.end_of_queue_time = min(self.end_of_queue_time, now + MAX_WAIT_MS)
            return MAX_WAIT_MS
        self.appointments.append(return_time)
        return return_time - now

    def _desired_return_rate(self, units: float, fill_rate: float) -> float:
        """Return how many clients should return per second, by mean and deviation of units."""
        mean = self.unit_sum / self.requests if self.requests else units
        mean_square = self.squared_unit_sum / self.requests if self.requests else 0.0
        variance = mean_square - mean * mean if self.requests > 1 else 0.0
        return (fill_rate or mean) / mean * (1 + sqrt(max(0.0, variance)) / mean)
