"""Tests of the fit of slopes and of their verdicts."""

from __future__ import annotations

import pytest

from fleetlab.results import Machine, Result
from fleetlab.slopes import fit


def make_results(axis: str, figure: str, values: dict[int, float | None]) -> list[Result]:
    return [
        Result("sweep", axis, size, 0, {figure: value}, "", Machine(1, 1, ""))
        for size, value in values.items()
    ]


@pytest.mark.parametrize(
    ("figure", "values", "verdict"),
    [
        pytest.param(
            "held_mb",
            {200: 1.2, 2000: 3.0, 10_000: 11.0, 20_000: 21.0},
            "missed",
            id="line-exceeds-the-limit",
        ),
        pytest.param(
            "held_mb",
            {200: 1.0002, 2000: 1.002, 10_000: 1.01, 20_000: 1.02},
            "met",
            id="line-within-the-limit",
        ),
        pytest.param(
            "held_mb",
            {200: 1.2, 2000: 3.0, 10_000: 11.0},
            "not known",
            id="too-few-points",
        ),
        pytest.param(
            "held_mb",
            {200: 1.0, 2000: 1.0, 10_000: 1.0, 20_000: 1.0, 50_000: None},
            "not known",
            id="one-point-without-a-value",
        ),
        pytest.param(
            "held_mb",
            {200: 1.0, 2000: 9.0, 10_000: 19.0, 20_000: 33.0, 50_000: None},
            "missed",
            id="missed-by-a-measured-point",
        ),
        pytest.param(
            "held_mb",
            {200: 20.0, 2000: 20.0, 10_000: 19.0, 20_000: 1.0},
            "met",
            id="line-falls-below-zero-so-the-maximum-value-counts",
        ),
        pytest.param(
            "held_mb",
            {200: 31.0, 2000: 27.0, 10_000: 31.0, 20_000: 27.0},
            "not known",
            id="limit-within-the-residuals",
        ),
        pytest.param(
            "rss_mb",
            {200: 1.2, 2000: 3.0, 10_000: 11.0, 20_000: 21.0},
            "not known",
            id="no-limit",
        ),
        pytest.param(
            "unheld_share",
            {200: 0.0, 2000: 0.0, 10_000: 0.0, 50_000: 1.0},
            "missed",
            id="missed-at-the-last-point",
        ),
        pytest.param(
            "unheld_share",
            {200: 0.0, 2000: 1.0, 10_000: 0.0, 20_000: 0.0, 99_000: 0.0},
            "missed",
            id="missed-at-one-point-between",
        ),
    ],
)
def test_the_verdict_claims_no_more_than_the_measurements_support(
    figure: str, values: dict[int, float | None], verdict: str
) -> None:
    slopes = fit(make_results("backends", figure, values))
    assert [slope.verdict for slope in slopes] == [verdict]


def test_the_fit_recovers_a_known_line() -> None:
    """The line is 1 MB plus 1 KB per entry, extrapolated to five times the largest point."""
    values: dict[int, float | None] = {x: 1 + x / 1000 for x in (200, 2000, 10_000, 19_800)}
    (slope,) = fit(make_results("backends", "held_mb", values))
    assert (slope.points, slope.unmeasured, slope.verdict) == (4, 0, "missed")
    assert slope.slope == pytest.approx(0.001)
    assert slope.intercept == pytest.approx(1.0)
    assert slope.at_plan == pytest.approx(100.0)
    assert slope.beyond == pytest.approx(5.0)
    assert slope.worst_residual == pytest.approx(0.0, abs=1e-9)


def test_the_worst_residual_is_the_maximum_distance_from_the_line() -> None:
    (slope,) = fit(make_results("backends", "held_mb", {0: 0.0, 10: 1.0, 20: 0.0, 30: 1.0}))
    assert slope.worst_residual == pytest.approx(0.6)
