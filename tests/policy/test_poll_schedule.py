"""When the endpoint list is polled again while a response is outstanding."""

from __future__ import annotations

from math import inf

import pytest

from sumacpost.policy.poll_schedule import (
    KEEP_INTERVAL_S,
    MAX_HEDGE_DELAY_S,
    OutstandingPoll,
    PollSchedule,
)

RESPONSE_TIMEOUT_S = 0.5


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
