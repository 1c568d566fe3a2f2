"""The figures of one point of a sweep, computed from the reports of its processes."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from fleetlab.results import Figures
from fleetlab.synthetic_messages import SyntheticReport
from sumacpost.policy.subsetting import MIN_SUBSET_SIZE

_READY_FIGURES = (
    "ready_s",
    "held_mb",
    "peak_mb",
    "rss_mb",
    "control_cpu_percent",
    "control_bytes_per_s",
    "decision_us",
    "counter_calls_per_s",
    "refused_share",
)


@dataclass(frozen=True, slots=True)
class Measurement:
    """The observations of one point in the measured time."""

    ingresses: int
    backends: int
    changes_expected: bool
    # The reports of each process in that time, preceded by its last one before, if there is one.
    reports: Sequence[Sequence[SyntheticReport]]
    full_lists: int  # sent by discovery


@dataclass(frozen=True, slots=True)
class _Span:
    """The first and the last report of a process in the measured time."""

    first: SyntheticReport
    last: SyntheticReport

    @property
    def wall_s(self) -> float:
        return self.last.at_s - self.first.at_s

    def increase(self, field: str) -> float:
        """Return the increase of a field that is a sum."""
        increase: float = getattr(self.last, field) - getattr(self.first, field)
        return increase


def compute_figures(measurement: Measurement) -> Figures:
    """Return the figures of a point from the reports of its processes.

    held_entries, held_mb, peak_mb, control_cpu_percent, control_bytes_per_s and counter_calls_per_s
    are means per ingress. unheld_share is the largest fraction of a minimum subset that an ingress
    lacks. told_ms is the longest time from a backend's start to the notification of an ingress.
    Figures that need every ingress to be ready and every process to have reported twice are None
    otherwise.
    """
    figures = _list_figures(measurement)
    spans = [_Span(reports[0], reports[-1]) for reports in measurement.reports if len(reports) > 1]
    all_reported = len(spans) == len(measurement.reports)
    if not all_reported or any(span.last.ready_s is None for span in spans):
        names = list(_READY_FIGURES)
        if measurement.changes_expected:
            names.append("told_ms")
        return figures | dict.fromkeys(names)
    figures |= _cost_figures(spans, measurement.ingresses)
    if _increase(spans, "changes"):
        figures["told_ms"] = max(
            report.max_notification_ms for reports in measurement.reports for report in reports[1:]
        )
    return figures


def _list_figures(measurement: Measurement) -> Figures:
    last_reports = [reports[-1] for reports in measurement.reports if reports]
    # An ingress keeps only its partition of a long list, which must suffice for a minimum subset.
    needed = min(MIN_SUBSET_SIZE, measurement.backends)
    unheld = max(
        (1 - min(1.0, report.min_entries / needed) for report in last_reports), default=1.0
    )
    return {
        "unheld_share": unheld,
        "held_entries": sum(report.entries for report in last_reports) / measurement.ingresses,
        "whole_lists_given": float(measurement.full_lists),
    }


def _cost_figures(spans: Sequence[_Span], ingresses: int) -> Figures:
    wall_s = sum(span.wall_s for span in spans) / len(spans)
    arrived = _increase(spans, "arrived")
    control_cpu_s = _increase(spans, "cpu_s") - _increase(spans, "decision_cpu_s")
    control_bytes = _increase(spans, "discovery_bytes") + _increase(spans, "counter_bytes")
    return {
        "ready_s": max(span.last.ready_s or 0.0 for span in spans),
        "held_mb": sum(span.last.rss_mb - span.last.base_mb for span in spans) / ingresses,
        "peak_mb": sum(span.last.peak_mb - span.last.base_mb for span in spans) / ingresses,
        "rss_mb": sum(span.last.rss_mb for span in spans),
        "control_cpu_percent": 100 * control_cpu_s / wall_s / ingresses,
        "control_bytes_per_s": control_bytes / wall_s / ingresses,
        "decision_us": 1e6 * _increase(spans, "decision_cpu_s") / arrived if arrived else None,
        "counter_calls_per_s": _increase(spans, "counter_calls") / wall_s / ingresses,
        "refused_share": _increase(spans, "rejected") / arrived if arrived else None,
    }


def _increase(spans: Sequence[_Span], field: str) -> float:
    return float(sum(span.increase(field) for span in spans))
