"""Latency histograms."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of latencies in microseconds, from 1 us to 60 s."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def percentile_ms(histogram: HdrHistogram, percent: float) -> float | None:
    """Return a percentile in milliseconds; None if nothing was recorded."""
    if not histogram.get_total_count():
        return None
    return float(histogram.get_value_at_percentile(percent) / 1000)


def max_ms(histogram: HdrHistogram) -> float | None:
    """Return the maximum latency in milliseconds; None if nothing was recorded."""
    if not histogram.get_total_count():
        return None
    return float(histogram.get_max_value() / 1000)
