"""The delays of the watch after failures, and its limit on received bytes."""

from __future__ import annotations

import pytest

from sumacpost.discovery.backoff import MAX_RECONNECT_DELAY_S, PollBackoff
from sumacpost.discovery.endpoint_list import EndpointListReader
from sumacpost.discovery.watch import RESPONSE_TIMEOUT_S, DiscoveryWatch


@pytest.fixture
def watch() -> DiscoveryWatch:
    return DiscoveryWatch(("127.0.0.1", 1), EndpointListReader((), ()), 5, lambda *_: None)


@pytest.fixture
def backoff(watch: DiscoveryWatch) -> PollBackoff:
    return watch._backoff


def test_delay_after_failed_responses_doubles_to_a_bound_within_the_drain_limit(
    backoff: PollBackoff,
) -> None:
    delays = [backoff.next_delay(100, malformed=True, now=0.0) for _ in range(12)]
    for number, delay in enumerate(delays):
        longest = min(MAX_RECONNECT_DELAY_S, 0.1 * 2**number)
        assert longest / 2 <= delay <= longest
    # A change must be known to the ingress within 6 s.
    assert MAX_RECONNECT_DELAY_S + RESPONSE_TIMEOUT_S + 1 < 6


def test_short_lists_start_no_limit_and_missing_responses_no_backoff(backoff: PollBackoff) -> None:
    for _ in range(12):
        backoff.next_delay(100, malformed=True, now=0.0)
    assert not backoff.is_limited(0.0)
    assert backoff.next_delay(0, malformed=False, now=0.0) == 0.1


def test_second_truncated_long_list_starts_limits_that_double(
    watch: DiscoveryWatch, backoff: PollBackoff
) -> None:
    backoff.next_delay(15_000_000, malformed=False, now=0.0)
    assert not backoff.is_limited(0.0)
    limits = []
    for _ in range(9):
        backoff.next_delay(15_000_000, malformed=False, now=0.0)
        limits.append(round(backoff.limited_until))
    assert limits == [60, 120, 240, 480, 960, 1920, 3840, 5000, 5000]
    watch.change_address(("127.0.0.1", 2))
    assert not backoff.is_limited(0.0)
