"""Timers that let the event loop read its sockets before a timeout takes effect."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

READ_DELAY_S = 0.001  # enough for one iteration of the loop, which reads the sockets
READ_ITERATIONS = 2  # the end of a connection is read in the iteration after its last bytes


class Timer:
    """Calls a function once after a delay, unless it is cancelled before.

    An event loop that was blocked, for example because the whole process was stopped, first runs
    the timers that are due and only then reads its sockets. A timeout would miss data that had
    arrived in time, so the sockets are read before the function is called, which takes about 2 ms.

    Args:
        delay_s: time until the timer is due, in seconds.
        callback: the function to call.
        args: the arguments of the callback.
        tolerated_lateness_s: a timer that fires at most this late, in seconds, calls the function
            without reading the sockets first; for timers that are not timeouts. 0: sockets are
            always read first.

    Attributes:
        due: when the timer is due, in seconds by the event loop's clock.
    """

    __slots__ = ("_args", "_callback", "_handle", "_reads_left", "_tolerated_lateness_s", "due")

    def __init__(
        self,
        delay_s: float,
        callback: Callable[..., None],
        *args: object,
        tolerated_lateness_s: float = 0.0,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.due = loop.time() + delay_s
        self._callback = callback
        self._args = args
        self._tolerated_lateness_s = tolerated_lateness_s
        self._reads_left = READ_ITERATIONS
        self._handle = loop.call_later(delay_s, self._fire)

    def cancel(self) -> None:
        """Cancel the timer; has no effect once the function has been called."""
        self._handle.cancel()
        self._args = ()  # the arguments often refer to the timer

    def _fire(self) -> None:
        loop = asyncio.get_running_loop()
        skip_reads = (
            self._tolerated_lateness_s and loop.time() - self.due <= self._tolerated_lateness_s
        )
        if self._reads_left and not skip_reads:
            self._reads_left -= 1
            self._handle = loop.call_later(READ_DELAY_S, self._fire)
            return
        args = self._args
        self._args = ()
        self._callback(*args)
