"""Timers that let the event loop read its sockets before they give something up."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

READ_DELAY_S = 0.001  # for one turn of the loop, which reads the sockets
READ_TURNS = 2  # the end of a connection is read in the turn after its last bytes


class Timer:
    """Calls a function once after a time, unless it is cancelled before.

    A loop that was held up, as a whole process may be, goes on with the timers that are due and
    reads its sockets only then. A timer that gives up waiting for something would overlook what
    came in time; so the sockets are read first, which takes about 2 ms.

    tolerated_lateness_s: a timer that fires at most so late does so at once; for what is not given
    up by it.
    """

    __slots__ = ("_args", "_callback", "_handle", "_tolerated_lateness_s", "_turns_left", "due")

    def __init__(
        self,
        delay_s: float,
        callback: Callable[..., None],
        *args: object,
        tolerated_lateness_s: float = 0.0,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.due = loop.time() + delay_s  # by the loop's clock
        self._callback = callback
        self._args = args
        self._tolerated_lateness_s = tolerated_lateness_s
        self._turns_left = READ_TURNS
        self._handle = loop.call_later(delay_s, self._fire)

    def cancel(self) -> None:
        """Don't fire any more; has no effect afterwards."""
        self._handle.cancel()

    def _fire(self) -> None:
        loop = asyncio.get_running_loop()
        skip_reads = (
            self._tolerated_lateness_s and loop.time() - self.due <= self._tolerated_lateness_s
        )
        if self._turns_left and not skip_reads:
            self._turns_left -= 1
            self._handle = loop.call_later(READ_DELAY_S, self._fire)
            return
        self._callback(*self._args)
