"""Child processes of a run: none is left behind, and the memory limit is kept."""

from __future__ import annotations

import asyncio
import os
import signal

import pytest

from fleetlab.process_stats import MemoryLimitError, check_memory
from fleetlab.processes import ChildProcesses
from tests.fleetlab.support import child_pids, process_exists
from tests.support.event_loop import run

MODULE = "fleetlab.synthetic_process"


def test_a_start_that_is_cancelled_leaves_no_process() -> None:
    """A process must be terminated even if the task that starts it is cancelled.

    The process may already run when the cancellation arrives, but is not registered yet. Such a
    process was once left behind.
    """

    async def scenario() -> None:
        children_before = child_pids(os.getpid())
        processes = ChildProcesses()
        starting = asyncio.create_task(processes.start(MODULE))
        await asyncio.sleep(0)
        starting.cancel()
        await asyncio.wait([starting])
        assert starting.cancelled()
        assert len(processes.pids) == 1
        await processes.terminate_all()
        assert child_pids(os.getpid()) == children_before

    run(scenario())


def test_a_process_that_ignores_sigterm_is_killed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("fleetlab.processes.TERMINATION_GRACE_S", 0.1)

    async def scenario() -> None:
        processes = ChildProcesses()
        child = await processes.start(MODULE)
        os.kill(child.pid, signal.SIGSTOP)  # a stopped process does not handle SIGTERM
        await processes.terminate_all()
        assert not process_exists(child.pid)
        assert processes.pids == []

    asyncio.run(asyncio.wait_for(scenario(), 30))


def test_a_run_with_an_estimate_above_half_of_the_memory_is_rejected() -> None:
    with pytest.raises(MemoryLimitError):
        check_memory([], 1e9)
