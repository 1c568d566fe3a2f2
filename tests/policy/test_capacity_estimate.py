"""What is assumed of a backend's capacity, by what is known of it, its type and its listed size."""

from __future__ import annotations

from itertools import product

import pytest

from sumacpost.model import Endpoint, SizeMeaning
from sumacpost.policy.capacity_estimate import CapacityEstimate
from tests.support.builders import settings

GATEWAYS = 1000  # so many that the margins for few observations are small
UTILIZATION = 0.8


def estimate(meaning: SizeMeaning, *warm: tuple[Endpoint, float], reports: int = 12) -> float:
    """Return the capacity per second of backend 9 of size 1 and type 0.

    warm: other backends, each with the capacity per second that its reports show.
    """
    return estimate_of(Endpoint(9, size=1.0), meaning, *warm, reports=reports)


def estimate_of(
    endpoint: Endpoint,
    meaning: SizeMeaning,
    *warm: tuple[Endpoint, float],
    reports: int = 12,
) -> float:
    """Return the capacity per second of a backend beside others, whose capacities are given."""
    capacity = CapacityEstimate(settings(size_meaning=meaning), 1e6)
    for number, (other, per_s) in product(range(reports), warm):
        now = number * 1000.0
        capacity.observe_report(now, other, True, per_s * UTILIZATION, UTILIZATION)
    return 1000 * capacity.requests_per_ms(1e5, endpoint, GATEWAYS)


@pytest.mark.parametrize("meaning", SizeMeaning)
def test_what_the_backend_itself_has_shown_counts_most(meaning: SizeMeaning) -> None:
    large = Endpoint(1, kind=0, size=8.0)
    restarted = Endpoint(9, size=1.0, up_since_ms=1e5)
    found = estimate_of(restarted, meaning, (Endpoint(9, size=1.0), 10.0), (large, 80.0))
    assert 8.0 < found < 10.0


@pytest.mark.parametrize(
    ("meaning", "lowest", "highest"),
    [
        (SizeMeaning.REGISTERED, 7.0, 10.0),  # an eighth of 80
        (SizeMeaning.APPROXIMATE, 4.5, 7.0),  # the same, as the size may be smaller
        (SizeMeaning.AVAILABLE, 7.0, 10.0),
        (SizeMeaning.NONE, 60.0, 80.0),  # the type is all that is known
    ],
)
def test_sizes_of_one_type_are_compared_as_far_as_their_meaning_allows(
    meaning: SizeMeaning, lowest: float, highest: float
) -> None:
    assert lowest < estimate(meaning, (Endpoint(1, size=8.0), 80.0)) < highest


def test_the_lowest_known_backend_of_a_type_bounds_the_estimate_where_sizes_say_nothing() -> None:
    fast = [(Endpoint(number), 80.0) for number in range(1, 8)]
    assert estimate(SizeMeaning.NONE, *fast, (Endpoint(8), 10.0)) == pytest.approx(10.0)


@pytest.mark.parametrize(
    ("meaning", "lowest", "highest"),
    [
        (SizeMeaning.REGISTERED, 4.0, 7.0),
        (SizeMeaning.APPROXIMATE, 2.5, 5.0),
        (SizeMeaning.AVAILABLE, 0.0, 0.01),
        (SizeMeaning.NONE, 0.0, 0.01),
    ],
)
def test_of_a_type_never_seen_warm_less_is_assumed_than_of_others(
    meaning: SizeMeaning, lowest: float, highest: float
) -> None:
    assert lowest <= estimate(meaning, (Endpoint(1, kind=1, size=8.0), 80.0)) < highest


def test_a_size_that_falls_with_the_load_never_raises_the_estimate() -> None:
    loaded = Endpoint(1, size=1.0)  # of registered size 4, but it holds requests
    found = estimate_of(Endpoint(9, size=4.0), SizeMeaning.AVAILABLE, (loaded, 40.0))
    assert 30.0 < found < 40.0


@pytest.mark.parametrize("meaning", SizeMeaning)
@pytest.mark.parametrize("size", [0.0, 1e-9, 1e9])
@pytest.mark.parametrize("reports", [1, 4, 12])
def test_any_listed_size_and_number_of_reports_gives_a_capacity(
    meaning: SizeMeaning, size: float, reports: int
) -> None:
    """Guard against a division by a size of zero, and a capacity of zero after few reports."""
    warm = (Endpoint(1, size=size), 40.0)
    found = estimate_of(Endpoint(9, size=size), meaning, warm, reports=reports)
    assert 0 < found <= 40.0
    if reports > 3:
        assert found > 10.0
