"""Linear fits of the figures of each axis, and their predictions for the plan's size."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum

import numpy as np

from fleetlab.plan import LIMITS, PLAN_SIZES
from fleetlab.results import Result

MIN_FIT_POINTS = 2
MIN_VERDICT_POINTS = 4
FIT_TOLERANCE = 1e-9  # numerical error of a fit


class Verdict(StrEnum):
    """Whether the line and the measured points comply with the limit."""

    MET = "met"
    MISSED = "missed"
    NOT_KNOWN = "not known"


@dataclass(frozen=True, slots=True)
class Slope:
    """The fitted line of a figure over an axis, in the units of the figure and of the axis."""

    axis: str
    figure: str
    points: int  # number of different sizes with a measured value
    unmeasured: int  # number of results without a measured value
    slope: float
    intercept: float
    worst_residual: float  # maximum distance of a result from the line
    at_plan: float  # the line's value at the plan's size
    limit: float | None
    beyond: float  # the plan's size divided by the largest measured size; above 1: extrapolated
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class _Observation:
    """The value of a figure at one size; None if it could not be measured."""

    size: float
    value: float | None


def fit(results: Iterable[Result]) -> list[Slope]:
    """Return a slope for each figure of each planned axis with at least two measured sizes.

    A figure misses its limit if a value measured up to the plan's size exceeds the limit. Otherwise
    it meets or misses the limit only with at least four different sizes, a value in each result up
    to the plan's size, and a prediction that equals the limit or differs from it by at least the
    worst residual. The prediction of a falling line is at least the maximum value measured up to
    the plan's size.
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
    """Return the slope of one figure; None without enough points or without a planned size."""
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
