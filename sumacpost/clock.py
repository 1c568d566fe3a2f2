"""The clock by which the ingress makes all its decisions."""

from __future__ import annotations

import time

# The event loop's timers may fire up to this early; the delay of a timer that must not be early is
# extended by it.
TIMER_SLACK_S = 0.001


# Determined once at process start, so that later steps of the wall clock have no effect.
_OFFSET_S = time.time() - time.monotonic()


class Clock:
    """Monotonic milliseconds on the scale of Unix time.

    The scale is the one that machines share, because the gateway derives the names of counters from
    the current minute and all ingresses must derive the same names. If the wall clock is wrong at
    process start, durations are still correct, and `StartTimeConverter` corrects the start times of
    backends. The counter names are then used by this ingress alone, so the other ingresses do not
    see the quota use that it counts.
    """

    def now(self) -> float:
        """Return the current time in milliseconds."""
        return (_OFFSET_S + time.monotonic()) * 1000
