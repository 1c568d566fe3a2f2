"""One real ingress, as a process, before stand-in servers of the plan's size."""

from __future__ import annotations

from dataclasses import replace

from fleetlab.discovery_server import ResponseMode
from fleetlab.process_stats import check_memory
from fleetlab.real_environment import RealRun, start_environment
from fleetlab.real_session import RealSession
from fleetlab.results import Figures

ESTIMATED_RUN_MB = 800.0  # of ingress, servers and load, to check memory beforehand
BASELINE_BACKENDS = 200
BASELINE_MAX_SECONDS = 3.0


async def measure(run: RealRun) -> Figures:
    """Return the figures of one ingress.

    A figure is None if it could not be measured. Where the ingress is never ready, only memory,
    stalls and the bytes that discovery has written are measured. These bytes count from when the
    ingress was ready, or from its start if it never was, and are those handed to the system: of a
    list that is not read to its end they are more than what was read.
    Raise RuntimeError if the ingress ends, TimeoutError if it does not serve in time, and
    MemoryLimitError if the machine's memory doesn't suffice.
    """
    check_memory([], ESTIMATED_RUN_MB)
    async with start_environment(run) as environment:
        session = RealSession(run, environment)
        try:
            return await session.measure()
        finally:
            await session.stop()


async def measure_with_baseline(run: RealRun) -> Figures:
    """Return the figures of a run and, as peak_over_200_mb, what the long list adds to peak memory.

    That is compared with a run with 200 listed backends, which is made first.
    """
    baseline_run = replace(
        run,
        backends=BASELINE_BACKENDS,
        mode=ResponseMode.GOOD,
        seconds=min(run.seconds, BASELINE_MAX_SECONDS),
    )
    baseline = await measure(baseline_run)
    figures = await measure(run)
    peak = figures.get("peak_rss_mb")
    baseline_peak = baseline.get("peak_rss_mb")
    figures["peak_over_200_mb"] = None
    if peak and baseline_peak and figures["ready_s"] is not None:
        figures["peak_over_200_mb"] = peak - baseline_peak
    figures["peak_200_mb"] = baseline_peak
    return figures
