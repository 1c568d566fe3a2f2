"""Straight lines through the figures of each axis, and what they say of the plan's size."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import numpy as np

from fleetlab.plan import LIMITS, SIZES
from fleetlab.results import Result

LEAST_POINTS = 4
ROUNDING = 1e-9  # of a fit


class Slope(NamedTuple):
    """The line of one figure over one axis; units are the figure's, and the figure's a unit of the axis."""

    axis: str
    figure: str
    points: int  # different sizes with a measured value
    unmeasured: int  # results without one
    slope: float
    intercept: float
    worst_residual: float  # the greatest distance of a result from the line
    at_plan: float  # the line's value at the plan's size
    limit: float | None
    beyond: float  # the plan's size over the last measured point: past 1 it is an extrapolation
    verdict: str  # met, missed or not known


def fit(results: Iterable[Result]) -> list[Slope]:
    """One slope for each figure of each axis that has two different measured points at least.

    A measured point up to the plan's size that is past the limit has missed it. Else a verdict needs a limit,
    four points, a measured value at each point played up to that size, and a limit further from the line than
    the worst residual. A line that falls promises no less than the greatest value measured up to that size.
    """
    series: dict[tuple[str, str], list[tuple[float, float | None]]] = {}
    for result in results:
        for figure, value in result.figures.items():
            series.setdefault((result.axis, figure), []).append((result.point, value))
    slopes = []
    for (axis, figure), found in series.items():
        measured = [(x, y) for x, y in found if y is not None]
        points, size = len({x for x, _ in measured}), SIZES.get(axis)
        if points < 2 or size is None:
            continue
        x, y = (np.array(column) for column in zip(*measured, strict=True))
        slope, intercept = (float(v) for v in np.polyfit(x, y, 1))
        at_plan, limit = slope * size + intercept, LIMITS.get(figure)
        lost = sum(value is None and point <= size for point, value in found)
        residual = float(np.max(np.abs(slope * x + intercept - y)))
        seen = float(np.max(y[x <= size], initial=-np.inf))
        least = max(at_plan, seen) if slope < 0 else at_plan
        if limit is None:
            verdict = "not known"
        elif seen > limit:
            verdict = "missed"
        elif points < LEAST_POINTS or lost or 0 < abs(least - limit) < residual:
            verdict = "not known"
        else:
            verdict = "met" if least <= limit + ROUNDING else "missed"
        unmeasured = len(found) - len(measured)
        slopes.append(
            Slope(
                axis,
                figure,
                points,
                unmeasured,
                slope,
                intercept,
                residual,
                at_plan,
                limit,
                size / max(float(np.max(x)), ROUNDING),
                verdict,
            )
        )
    return slopes
