"""The measurement of one real ingress process with stand-in servers and a list of any size."""

from __future__ import annotations

from dataclasses import replace

from fleetlab.discovery_server import ResponseMode
from fleetlab.process_stats import check_memory
from fleetlab.real_environment import RealRun, start_environment
from fleetlab.real_session import RealSession
from fleetlab.results import Figures

# Estimated memory of ingress, servers and load, for the memory check before a run.
ESTIMATED_RUN_MB = 800.0
BASELINE_BACKENDS = 200
BASELINE_MAX_SECONDS = 3.0


async def measure(run: RealRun) -> Figures:
    """Return the figures of one ingress.

    A figure is None if it could not be measured. If the ingress never becomes ready, the figures of
    requests are left out, and its memory, CPU time, latency of health checks, polls and the bytes
    written by discovery are measured. CPU time, polls and bytes are counted from the time at which
    the ingress was ready, or began to listen if it never was ready. The bytes are those handed to
    the system: if the ingress does not read a list to its end, they are more than it has read.
    Raise RuntimeError if the ingress exits before it listens, TimeoutError if it does not listen in
    time, and MemoryLimitError if the machine's memory does not suffice.
    """
    check_memory([], ESTIMATED_RUN_MB)
    async with start_environment(run) as environment:
        session = RealSession(run, environment)
        try:
            return await session.measure()
        finally:
            await session.stop()


async def measure_with_baseline(run: RealRun) -> Figures:
    """Return the figures of a run, compared with those of an earlier run with 200 listed backends.

    peak_200_mb is the peak memory of that earlier run, which is made first. peak_over_200_mb is the
    peak memory that the longer list adds; None if the ingress never became ready.
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
