"""Straight lines through the figures of each axis, and what they say of the plan's size."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import numpy as np

from fleetlab.plan import LIMITS, SIZES
from fleetlab.results import Result

LEAST_POINTS = 4


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

    A verdict needs a limit, four points, and a measured value at each point played up to the plan's size.
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
        if limit is None or points < LEAST_POINTS or lost:
            verdict = "not known"
        else:
            # a list that is not held at any size up to the plan's is missed, wherever the line goes
            worst = max([at_plan, *y[x <= size]]) if figure == "unheld_share" else at_plan
            verdict = "met" if worst <= limit + 1e-9 else "missed"
        slopes.append(Slope(axis, figure, points, len(found) - len(measured), slope, intercept,
                            float(np.max(np.abs(slope * x + intercept - y))), at_plan, limit,
                            size / max(float(np.max(x)), 1e-9), verdict))
    return slopes
