"""A signal is heeded whenever it comes: also as the work ends, and while it doesn't await."""

from __future__ import annotations

import asyncio
import os
import signal
import time

import pytest

from fleetlab.interrupts import InterruptedRunError, run_interruptible

SIGNALS = (signal.SIGINT, signal.SIGTERM)


@pytest.mark.parametrize("signum", SIGNALS)
def test_a_signal_cancels_work_that_waits(signum: signal.Signals) -> None:
    async def work() -> None:
        os.kill(os.getpid(), signum)
        await asyncio.sleep(30)

    with pytest.raises(InterruptedRunError) as caught:
        run_interruptible(work())
    assert caught.value.signum == signum


@pytest.mark.parametrize("signum", SIGNALS)
def test_a_signal_in_the_last_step_of_the_work_is_heeded(signum: signal.Signals) -> None:
    """A run of the soak is judged after its last await; SIGTERM got lost there."""

    async def work() -> str:
        await asyncio.sleep(0)
        os.kill(os.getpid(), signum)
        return "done"

    with pytest.raises(InterruptedRunError) as caught:
        run_interruptible(work())
    assert caught.value.signum == signum


def test_a_signal_from_outside_reaches_work_that_waits() -> None:
    """The loop is asleep in the system when the signal comes."""
    started = time.monotonic()

    async def work() -> None:
        asyncio.get_running_loop().run_in_executor(None, _signal_soon)
        await asyncio.sleep(30)

    with pytest.raises(InterruptedRunError):
        run_interruptible(work())
    assert time.monotonic() - started < 10


def _signal_soon() -> None:
    time.sleep(0.2)
    os.kill(os.getpid(), signal.SIGTERM)


def test_the_handlers_from_before_are_back_afterwards() -> None:
    before = [signal.getsignal(signum) for signum in SIGNALS]
    assert run_interruptible(asyncio.sleep(0, "done")) == "done"
    assert [signal.getsignal(signum) for signum in SIGNALS] == before
