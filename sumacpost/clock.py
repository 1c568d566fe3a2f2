"""The one clock of the ingress's decisions."""

from __future__ import annotations

import time

# The event loop's timers may be early by so much.
TIMER_SLACK_S = 0.001


# Fixed as the process starts, so that no later step of the wall clock is felt.
_OFFSET_S = time.time() - time.monotonic()


class Clock:
    """Monotonic milliseconds on the scale of Unix time.

    The gateway names counters after the current minute, and all ingresses must name them alike: so
    the scale is the one that machines share. Where the wall clock is wrong at the start, spans of
    time are right all the same, and starts of backends are converted by `StartTimeConverter`; the
    names of the counter are then this ingress's own, and its customers' use is not seen by the
    others.
    """

    def now(self) -> float:
        """Return the time in milliseconds."""
        return (_OFFSET_S + time.monotonic()) * 1000
