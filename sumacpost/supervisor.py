"""Supervision of tasks that must run for the lifetime of the program."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

log = logging.getLogger(__name__)

RESTART_DELAY_S = 0.1  # before a task that has ended is run again


class SupervisedTask:
    """Runs `work`, and runs it again whenever it fails or returns.

    Create it and call its methods on the event loop's thread only.
    """

    def __init__(self, name: str, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        self._name = name
        self._work = work
        self._loop = asyncio.get_running_loop()
        self._stopped = False
        self._start()

    def restart(self) -> None:
        """Cancel the current run and start another immediately."""
        previous = self._task
        self._start()
        previous.cancel()

    def stop(self) -> None:
        """Cancel the current run and start no other."""
        self._stopped = True
        self._task.cancel()

    def _start(self) -> None:
        if not self._stopped:
            self._task = self._loop.create_task(self._work())
            self._task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or self._stopped:
            return
        log.error(
            "supervised task failed, restarting: task=%s", self._name, exc_info=task.exception()
        )
        self._loop.call_later(RESTART_DELAY_S, self._restart_failed, task)

    def _restart_failed(self, failed: asyncio.Task[None]) -> None:
        if failed is self._task:  # otherwise `restart` has already started another run
            self._start()
