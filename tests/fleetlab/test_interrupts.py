"""Signals interrupt work at any time: while it waits, and in its last step without an await."""

from __future__ import annotations

import asyncio
import os
import signal
import time

import pytest

from fleetlab.interrupts import InterruptedRunError, run_interruptible

SIGNALS = (signal.SIGINT, signal.SIGTERM)


@pytest.mark.parametrize("signum", SIGNALS)
def test_a_signal_cancels_waiting_work(signum: signal.Signals) -> None:
    async def work() -> None:
        os.kill(os.getpid(), signum)
        await asyncio.sleep(30)

    with pytest.raises(InterruptedRunError) as caught:
        run_interruptible(work())
    assert caught.value.signum == signum


@pytest.mark.parametrize("signum", SIGNALS)
def test_a_signal_in_the_last_step_of_the_work_interrupts_the_run(signum: signal.Signals) -> None:
    """A signal must not be lost if the work ends without another await.

    The soak checks a run after its last await. A SIGTERM received there used to have no effect.
    """

    async def work() -> str:
        await asyncio.sleep(0)
        os.kill(os.getpid(), signum)
        return "done"

    with pytest.raises(InterruptedRunError) as caught:
        run_interruptible(work())
    assert caught.value.signum == signum


def test_a_signal_wakes_a_loop_that_waits_in_a_system_call() -> None:
    """The signal comes from another thread while the event loop waits for events."""
    started_at = time.monotonic()

    async def work() -> None:
        asyncio.get_running_loop().run_in_executor(None, _send_signal_after_delay)
        await asyncio.sleep(30)

    with pytest.raises(InterruptedRunError):
        run_interruptible(work())
    assert time.monotonic() - started_at < 10


def _send_signal_after_delay() -> None:
    time.sleep(0.2)
    os.kill(os.getpid(), signal.SIGTERM)


def test_the_previous_signal_handlers_are_restored() -> None:
    previous_handlers = [signal.getsignal(signum) for signum in SIGNALS]
    assert run_interruptible(asyncio.sleep(0, "done")) == "done"
    assert [signal.getsignal(signum) for signum in SIGNALS] == previous_handlers
