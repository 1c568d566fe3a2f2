"""Straight lines through the figures of each axis, and what they predict for the plan's size."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum

import numpy as np

from fleetlab.plan import LIMITS, PLAN_SIZES
from fleetlab.results import Result

MIN_FIT_POINTS = 2
MIN_VERDICT_POINTS = 4
FIT_TOLERANCE = 1e-9  # error of a fit


class Verdict(StrEnum):
    """What the line and the measured points say about the limit."""

    MET = "met"
    MISSED = "missed"
    NOT_KNOWN = "not known"


@dataclass(frozen=True, slots=True)
class Slope:
    """The line of one figure over one axis, in the units of the figure and of the axis."""

    axis: str
    figure: str
    points: int  # different sizes with a measured value
    unmeasured: int  # results without one
    slope: float
    intercept: float
    worst_residual: float  # the greatest distance of a result from the line
    at_plan: float  # the line's value at the plan's size
    limit: float | None
    beyond: float  # the plan's size over the last measured point: above 1 it is an extrapolation
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class _Observation:
    """The value of a figure at one size; None if it could not be measured."""

    size: float
    value: float | None


def fit(results: Iterable[Result]) -> list[Slope]:
    """Return a slope for each figure of each axis with at least two different measured sizes.

    A figure has missed its limit if a point measured up to the plan's size is beyond it. Otherwise
    a verdict needs a limit, four points, a measured value at each point up to that size,
    and a limit further from the line than the worst residual. A line that falls promises no less
    than the greatest value measured up to that size.
    """
    series: dict[tuple[str, str], list[_Observation]] = {}
    for result in results:
        for figure, value in result.figures.items():
            observations = series.setdefault((result.axis, figure), [])
            observations.append(_Observation(result.point, value))
    slopes = []
    for (axis, figure), observations in series.items():
        slope = _fit_figure(axis, figure, observations)
        if slope is not None:
            slopes.append(slope)
    return slopes


def _fit_figure(axis: str, figure: str, observations: Sequence[_Observation]) -> Slope | None:
    """Return the slope of one figure; None where there are too few points or no planned size."""
    measured = [o for o in observations if o.value is not None]
    points = len({observation.size for observation in measured})
    plan_size = PLAN_SIZES.get(axis)
    if points < MIN_FIT_POINTS or plan_size is None:
        return None
    sizes = np.array([observation.size for observation in measured])
    values = np.array([observation.value for observation in measured])
    slope, intercept = (float(coefficient) for coefficient in np.polyfit(sizes, values, 1))
    residual = float(np.max(np.abs(slope * sizes + intercept - values)))
    at_plan = slope * plan_size + intercept
    max_measured = float(np.max(values[sizes <= plan_size], initial=-np.inf))
    limit = LIMITS.get(figure)
    complete = points >= MIN_VERDICT_POINTS and not any(
        observation.value is None and observation.size <= plan_size for observation in observations
    )
    return Slope(
        axis=axis,
        figure=figure,
        points=points,
        unmeasured=len(observations) - len(measured),
        slope=slope,
        intercept=intercept,
        worst_residual=residual,
        at_plan=at_plan,
        limit=limit,
        beyond=plan_size / max(float(np.max(sizes)), FIT_TOLERANCE),
        verdict=_judge(
            limit,
            max_measured=max_measured,
            predicted=max(at_plan, max_measured) if slope < 0 else at_plan,
            residual=residual,
            complete=complete,
        ),
    )


def _judge(
    limit: float | None, *, max_measured: float, predicted: float, residual: float, complete: bool
) -> Verdict:
    if limit is None:
        return Verdict.NOT_KNOWN
    if max_measured > limit:
        return Verdict.MISSED
    if not complete or 0 < abs(predicted - limit) < residual:
        return Verdict.NOT_KNOWN
    return Verdict.MET if predicted <= limit + FIT_TOLERANCE else Verdict.MISSED
