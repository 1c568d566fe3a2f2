"""The service time follows observations at low load; more of them reduce its margin."""

from __future__ import annotations

import pytest

from sumacpost.model import Send
from sumacpost.policy.capacity_estimate import OVERLOAD_SAFETY_FRACTION
from sumacpost.policy.service_time import BLOCK_SIZE, ServiceTime
from tests.support.builders import (
    START_MS,
    actions_of_type,
    attempt_ended,
    gateway,
    request_arrived,
)


def service_time_of(*values: float) -> ServiceTime:
    service_time = ServiceTime(1000.0)
    for value in values:
        service_time.observe(value, 1.0)
    return service_time


def test_few_observations_leave_a_margin_that_is_smaller_with_more_gateways() -> None:
    one = service_time_of(*[100.0] * 9)
    assert one.upper_bound_ms(1) > one.upper_bound_ms(10) > 100


def test_one_congested_block_does_not_raise_the_service_time() -> None:
    calm = service_time_of(*[100.0] * 2 * BLOCK_SIZE)
    congested = service_time_of(*[100.0] * 2 * BLOCK_SIZE, *[300.0] * BLOCK_SIZE)
    assert congested.upper_bound_ms(1) == pytest.approx(calm.upper_bound_ms(1))


def test_a_lasting_slowdown_raises_the_service_time() -> None:
    slower = service_time_of(*[100.0] * 2 * BLOCK_SIZE, *[300.0] * 9 * BLOCK_SIZE)
    assert 300 <= slower.upper_bound_ms(100) < 320


def test_concurrent_requests_do_not_shorten_the_service_time() -> None:
    """Guard against dividing the elapsed time of concurrent requests by their number.

    The result showed a backend with many cores as a single fast one.
    """
    g = gateway(1)
    for number in range(0, 600, 6):
        now = START_MS + number * 100
        batch = range(number, number + 6)
        sends = [
            send for n in batch for send in actions_of_type(g.handle(now, request_arrived(n)), Send)
        ]
        for send in sends:
            g.handle(now + 100, attempt_ended(send.request, send.backend, elapsed_ms=100))
    assert g.estimate.mean_work_ms < 100
    for backend in g.endpoints.backends.values():
        requests_per_ms = g.estimate.capacity.requests_per_ms(now, backend.endpoint, 1)
        assert OVERLOAD_SAFETY_FRACTION / requests_per_ms >= 100


def test_observations_are_weighted_by_work() -> None:
    service_time = ServiceTime(200.0)
    for _ in range(BLOCK_SIZE // 2):
        service_time.observe(200, 0.2)
        service_time.observe(900, 1.8)
    assert service_time.upper_bound_ms(10_000) == pytest.approx(1100 / 2, rel=0.01)
