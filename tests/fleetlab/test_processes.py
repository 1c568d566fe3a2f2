"""The processes of a run: none is left, and none is started that can't fit."""

from __future__ import annotations

import asyncio
import os
import signal

import pytest

from fleetlab.process_stats import MemoryLimitError, check_memory
from fleetlab.processes import ChildProcesses
from tests.fleetlab.support import children_of, process_exists
from tests.support.event_loop import run

MODULE = "fleetlab.synthetic_process"


def test_an_interrupt_while_a_process_is_being_started_leaves_none() -> None:
    """The moment between a process's beginning and its being known: once one was left there."""

    async def scenario() -> None:
        before = children_of(os.getpid())
        processes = ChildProcesses()
        starting = asyncio.create_task(processes.start(MODULE))
        await asyncio.sleep(0)
        starting.cancel()
        await asyncio.wait([starting])
        assert starting.cancelled()
        assert len(processes.pids) == 1
        await processes.terminate_all()
        assert children_of(os.getpid()) == before

    run(scenario())


def test_a_process_that_ignores_its_termination_is_killed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("fleetlab.processes.TERMINATION_GRACE_S", 0.1)

    async def scenario() -> None:
        processes = ChildProcesses()
        child = await processes.start(MODULE)
        os.kill(child.pid, signal.SIGSTOP)  # SIGTERM does not end it now
        await processes.terminate_all()
        assert not process_exists(child.pid)
        assert processes.pids == []

    asyncio.run(asyncio.wait_for(scenario(), 30))


def test_a_run_that_would_take_more_than_half_of_the_memory_is_rejected() -> None:
    with pytest.raises(MemoryLimitError):
        check_memory([], 1e9)
