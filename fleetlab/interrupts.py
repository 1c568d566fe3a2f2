"""Runs work that SIGINT or SIGTERM cancels, and waits for its clean-up."""

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
    """SIGINT or SIGTERM was received, and the interrupted work has been cleaned up."""

    def __init__(self, signum: int) -> None:
        super().__init__(f"signal {signum}")
        self.signum = signum


def run_interruptible(work: Coroutine[Any, Any, Value]) -> Value:
    """Run work on a new event loop and return its result.

    SIGINT or SIGTERM cancels the work; InterruptedRunError is raised after its clean-up. It is also
    raised if the signal arrives too late to cancel anything.

    Signals are handled by the interpreter and not by the event loop, for two reasons. A loop
    handles a signal in its next iteration, and there is none once the work has ended. The handlers
    of uvloop remain installed when the loop is closed, and later signals then have no effect.
    """
    caught_signals: list[int] = []

    async def main() -> Value:
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        assert task is not None

        def interrupt(signum: int, _frame: FrameType | None) -> None:
            # A second signal must not interrupt the termination of processes.
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
