"""How long a connection may have been idle and still be reused; adapts to what resets show."""

from __future__ import annotations

# Of the backends' idle timeout: a connection idle for longer is closed, well before they close it.
IDLE_TIMEOUT_FRACTION = 0.6
# A reset so soon after the request shows that the connection had ended unnoticed before it.
STALE_RESET_WINDOW_S = 0.02
MIN_REUSE_IDLE_S = 0.03  # the limit never falls below this
# With a limit below this, an attempt that is not retryable gets a new connection.
NON_RETRYABLE_REUSE_IDLE_S = 1.0
REUSE_IDLE_DECREASE = 0.8  # factor on the limit after a stale connection
REUSE_IDLE_INCREASE = 1.02  # factor on the limit after a good response


class ReuseLimit:
    """The longest time that a connection may have been idle to be reused, for all backends.

    A network device may drop connections long before the backend closes them. A request that is
    not retryable would be lost on such a connection.
    """

    __slots__ = ("max_idle_s", "max_reuse_idle_s")

    def __init__(self, backend_idle_timeout_s: float) -> None:
        self.max_idle_s = backend_idle_timeout_s * IDLE_TIMEOUT_FRACTION
        self.max_reuse_idle_s = self.max_idle_s

    @property
    def allows_non_retryable(self) -> bool:
        """Whether idle connections may carry attempts that are not retryable."""
        return self.max_reuse_idle_s >= NON_RETRYABLE_REUSE_IDLE_S

    def record_reset(self, idle_s: float, elapsed_s: float) -> None:
        """Learn from the reset of a reused connection.

        idle_s is how long it had been idle, elapsed_s how long after its request it was reset. If
        it was stale, others that have been idle for so long are not to be reused either.
        """
        if elapsed_s < STALE_RESET_WINDOW_S:
            reduced_s = min(self.max_reuse_idle_s, idle_s) * REUSE_IDLE_DECREASE
            self.max_reuse_idle_s = max(MIN_REUSE_IDLE_S, reduced_s)

    def record_success(self) -> None:
        """Learn from a good response: allow a little more."""
        self.max_reuse_idle_s = min(self.max_idle_s, self.max_reuse_idle_s * REUSE_IDLE_INCREASE)
