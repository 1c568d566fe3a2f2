"""The adaptive limit on the idle time of reused connections."""

from __future__ import annotations

import pytest

from sumacpost.upstream.reuse_limit import (
    IDLE_TIMEOUT_FRACTION,
    MIN_REUSE_IDLE_S,
    NON_RETRYABLE_REUSE_IDLE_S,
    STALE_RESET_WINDOW_S,
    ReuseLimit,
)

BACKEND_IDLE_TIMEOUT_S = 30.0
IMMEDIATE_RESET_S = STALE_RESET_WINDOW_S / 2


@pytest.fixture
def limit() -> ReuseLimit:
    return ReuseLimit(BACKEND_IDLE_TIMEOUT_S)


def test_limit_starts_well_below_the_backends_idle_timeout(limit: ReuseLimit) -> None:
    assert limit.max_reuse_idle_s == BACKEND_IDLE_TIMEOUT_S * IDLE_TIMEOUT_FRACTION
    assert limit.allows_non_retryable


def test_stale_connection_reduces_the_limit_below_its_idle_time(limit: ReuseLimit) -> None:
    limit.record_reset(idle_s=5.0, elapsed_s=IMMEDIATE_RESET_S)
    assert limit.max_reuse_idle_s == pytest.approx(4.0)
    limit.record_reset(
        idle_s=9.0, elapsed_s=IMMEDIATE_RESET_S
    )  # longer than the limit at that point
    assert limit.max_reuse_idle_s == pytest.approx(3.2)


def test_late_reset_does_not_change_the_limit(limit: ReuseLimit) -> None:
    before = limit.max_reuse_idle_s
    limit.record_reset(idle_s=5.0, elapsed_s=STALE_RESET_WINDOW_S)
    assert limit.max_reuse_idle_s == before


def test_limit_has_a_minimum_that_rules_out_non_retryable_attempts(limit: ReuseLimit) -> None:
    limit.record_reset(idle_s=0.0, elapsed_s=IMMEDIATE_RESET_S)
    assert limit.max_reuse_idle_s == MIN_REUSE_IDLE_S
    assert not limit.allows_non_retryable


def test_successful_responses_raise_the_limit_gradually(limit: ReuseLimit) -> None:
    limit.record_reset(idle_s=NON_RETRYABLE_REUSE_IDLE_S, elapsed_s=IMMEDIATE_RESET_S)
    reduced_s = limit.max_reuse_idle_s
    limit.record_success()
    assert reduced_s < limit.max_reuse_idle_s < 1.05 * reduced_s
    for _ in range(1000):
        limit.record_success()
    assert limit.max_reuse_idle_s == limit.max_idle_s
