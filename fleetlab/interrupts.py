"""Work that can be interrupted: everything it has started is ended first."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any, TypeVar

import uvloop

Value = TypeVar("Value")


class InterruptedRunError(Exception):
    """SIGINT or SIGTERM has come, and all that was started has been ended."""

    def __init__(self, signum: int) -> None:
        super().__init__(f"signal {signum}")
        self.signum = signum


def run_interruptible(work: Coroutine[Any, Any, Value]) -> Value:
    """Run work to its end on an event loop of its own.

    SIGINT or SIGTERM cancels the work; when it has cleaned up, InterruptedRunError is raised.
    """
    caught: list[int] = []

    async def main() -> Value:
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        assert task is not None

        def interrupt(signum: int) -> None:
            # A second signal must not cut the ending of processes short.
            if not caught:
                caught.append(signum)
                task.cancel()

        for signum in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(signum, interrupt, signum)
        return await work

    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(main())
    except asyncio.CancelledError:
        raise InterruptedRunError(caught[0] if caught else signal.SIGINT) from None
