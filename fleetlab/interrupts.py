"""Work that can be interrupted: everything it has started is ended first."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine
from types import FrameType
from typing import Any, TypeVar

import uvloop

Value = TypeVar("Value")

_SIGNALS = (signal.SIGINT, signal.SIGTERM)


class InterruptedRunError(Exception):
    """SIGINT or SIGTERM has come, and all that was started has been ended."""

    def __init__(self, signum: int) -> None:
        super().__init__(f"signal {signum}")
        self.signum = signum


def run_interruptible(work: Coroutine[Any, Any, Value]) -> Value:
    """Run work to its end on an event loop of its own.

    SIGINT or SIGTERM cancels the work; when it has cleaned up, InterruptedRunError is raised. So it
    is for a signal that comes too late to cancel anything.

    The handlers are the interpreter's, not the loop's: a loop hears of a signal in its next turn,
    which there is none of once the work has ended, and uvloop's handlers stay behind when it is
    closed and swallow all later signals.
    """
    caught_signals: list[int] = []

    async def main() -> Value:
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        assert task is not None

        def interrupt(signum: int, _frame: FrameType | None) -> None:
            # A second signal must not cut the ending of processes short.
            if not caught_signals:
                caught_signals.append(signum)
                if not loop.is_closed():
                    loop.call_soon_threadsafe(task.cancel)

        for signum in _SIGNALS:
            signal.signal(signum, interrupt)
        return await work

    previous_handlers = {signum: signal.getsignal(signum) for signum in _SIGNALS}
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            value = runner.run(main())
    except asyncio.CancelledError:
        raise InterruptedRunError(caught_signals[0] if caught_signals else signal.SIGINT) from None
    finally:
        for signum, handler in previous_handlers.items():
            signal.signal(signum, handler)
    if caught_signals:
        raise InterruptedRunError(caught_signals[0])
    return value
