"""The one clock of the ingress's decisions."""

from __future__ import annotations

import time

# The event loop's timers may be early by so much.
TIMER_SLACK_S = 0.001


class Clock:
    """Monotonic milliseconds on the scale of Unix time.

    The gateway names counters after the current minute, and all ingresses must name them alike: so
    the scale is the one that machines share, fixed at the start so that no later step is felt.
    """

    def __init__(self) -> None:
        self._offset_s = time.time() - time.monotonic()

    def now(self) -> float:
        """Return the time in milliseconds."""
        return (self._offset_s + time.monotonic()) * 1000
