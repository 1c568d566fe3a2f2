"""When the endpoint list is polled again while a response is outstanding."""

from __future__ import annotations

from math import inf

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sumacpost.discovery.backoff import RECONNECT_DELAY_S
from sumacpost.policy.poll_schedule import (
    KEEP_INTERVAL_S,
    MAX_HEDGE_DELAY_S,
    OutstandingPoll,
    PollSchedule,
)

RESPONSE_TIMEOUT_S = 0.5
LONG_POLL_S = 1.0


@pytest.fixture
def schedule() -> PollSchedule:
    return PollSchedule(RESPONSE_TIMEOUT_S)


def test_the_hedge_delay_follows_the_delay_of_responses_within_its_bounds(
    schedule: PollSchedule,
) -> None:
    for delay_s, expected_s in ((0.1, 0.5), (0.6, 0.9), (4.0, MAX_HEDGE_DELAY_S)):
        schedule.record_response(OutstandingPoll(due_at=10.0), 10.0 + delay_s)
        assert schedule.hedge_delay_s == pytest.approx(expected_s)
    for _ in range(30):
        schedule.record_response(OutstandingPoll(due_at=10.0), 10.0)
    assert schedule.hedge_delay_s == RESPONSE_TIMEOUT_S


def test_a_response_before_its_due_time_tells_nothing(schedule: PollSchedule) -> None:
    schedule.record_response(OutstandingPoll(due_at=10.0), 10.6)
    schedule.record_response(OutstandingPoll(due_at=20.0), 19.5)
    assert schedule.hedge_delay_s == pytest.approx(0.9)


def test_the_youngest_poll_is_overdue_unless_its_response_has_begun(
    schedule: PollSchedule,
) -> None:
    polls = [OutstandingPoll(1.0), OutstandingPoll(3.0)]
    assert schedule.overdue_at(polls) == 3.0 + RESPONSE_TIMEOUT_S
    polls[-1].receiving = True
    assert schedule.overdue_at(polls) == inf


def test_kept_polls_are_apart_and_the_oldest_one_is_kept(schedule: PollSchedule) -> None:
    oldest = OutstandingPoll(0.0)
    assert not schedule.replaces_youngest([oldest])
    close = OutstandingPoll(KEEP_INTERVAL_S / 2)
    assert schedule.replaces_youngest([oldest, close])
    assert not schedule.replaces_youngest([oldest, OutstandingPoll(KEEP_INTERVAL_S)])
    close.receiving = True
    assert not schedule.replaces_youngest([oldest, close])


@given(
    grace_s=st.floats(0.3, 5.0),
    delays_s=st.lists(st.floats(0.2, 4.0), max_size=8),
    polled_before_s=st.floats(0.0, LONG_POLL_S),
    outage_s=st.floats(3.0, 12.0),
)
@settings(derandomize=True, max_examples=300, deadline=None)
def test_the_return_of_an_agent_is_noticed_within_the_grace_whatever_was_learned_before(
    grace_s: float, delays_s: list[float], polled_before_s: float, outage_s: float
) -> None:
    # Guards against a delay learned from late responses that outlasts them (review/7).
    response_timeout_s = min(RESPONSE_TIMEOUT_S, grace_s / 2)
    schedule = PollSchedule(response_timeout_s, grace_s, RECONNECT_DELAY_S)
    for delay_s in delays_s:
        schedule.record_response(OutstandingPoll(due_at=0.0), delay_s)
    # Of the silent agent: a poll from before the outage, which it may hold, and those that follow.
    poll = OutstandingPoll(due_at=LONG_POLL_S - polled_before_s)
    while (sent_at := schedule.overdue_at([poll]) + RECONNECT_DELAY_S) < outage_s:
        poll = OutstandingPoll(due_at=sent_at)
    assert sent_at - outage_s <= grace_s


def test_what_is_learned_is_limited_by_the_grace_and_never_below_the_usual_delay() -> None:
    for grace_s, expected_s in ((5.0, MAX_HEDGE_DELAY_S), (1.0, 0.65), (0.3, 0.15)):
        schedule = PollSchedule(min(RESPONSE_TIMEOUT_S, grace_s / 2), grace_s, RECONNECT_DELAY_S)
        schedule.record_response(OutstandingPoll(due_at=0.0), 4.0)
        assert schedule.hedge_delay_s == pytest.approx(expected_s)
