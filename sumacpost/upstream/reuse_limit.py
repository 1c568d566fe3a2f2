"""The idle time up to which connections are reused, adapted to observed resets."""

from __future__ import annotations

# Fraction of the idle timeout of the backends. Connections that are idle for longer are closed,
# well before the backends close them.
IDLE_TIMEOUT_FRACTION = 0.6
# A reset within this time after a request shows that the connection was broken before the request.
STALE_RESET_WINDOW_S = 0.02
MIN_REUSE_IDLE_S = 0.03  # lower bound of max_reuse_idle_s
# While max_reuse_idle_s is below this, an attempt that is not retryable gets a new connection.
NON_RETRYABLE_REUSE_IDLE_S = 1.0
REUSE_IDLE_DECREASE = 0.8  # factor on max_reuse_idle_s after a stale connection
REUSE_IDLE_INCREASE = 1.02  # factor on max_reuse_idle_s after a successful response


class ReuseLimit:
    """The longest idle time after which a connection is reused, for all backends together.

    A device on the network path may drop connections long before the backend closes them. A request
    that is not retryable would be lost on such a connection.

    Attributes:
        max_idle_s: fixed idle time after which connections are closed, in seconds.
        max_reuse_idle_s: current limit on the idle time for reuse, in seconds.
    """

    __slots__ = ("max_idle_s", "max_reuse_idle_s")

    def __init__(self, backend_idle_timeout_s: float) -> None:
        self.max_idle_s = backend_idle_timeout_s * IDLE_TIMEOUT_FRACTION
        self.max_reuse_idle_s = self.max_idle_s

    @property
    def allows_non_retryable(self) -> bool:
        """Whether attempts that are not retryable may reuse idle connections."""
        return self.max_reuse_idle_s >= NON_RETRYABLE_REUSE_IDLE_S

    def record_reset(self, idle_s: float, elapsed_s: float) -> None:
        """Lower the limit if the reset of a reused connection shows that it was stale.

        idle_s is the idle time of the connection before its request, elapsed_s the time from the
        request to the reset. Other connections that have been idle as long are then not reused
        either.
        """
        if elapsed_s < STALE_RESET_WINDOW_S:
            reduced_s = min(self.max_reuse_idle_s, idle_s) * REUSE_IDLE_DECREASE
            self.max_reuse_idle_s = max(MIN_REUSE_IDLE_S, reduced_s)

    def record_success(self) -> None:
        """Raise the limit slightly after a successful response."""
        self.max_reuse_idle_s = min(self.max_idle_s, self.max_reuse_idle_s * REUSE_IDLE_INCREASE)
