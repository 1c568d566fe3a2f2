"""Hedged requests: a second attempt at another backend while the first is overdue."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, NamedTuple

import pytest

from sumacpost.model import (
    Cancel,
    Event,
    Outcome,
    Reject,
    RequestCancelled,
    Send,
    SetTimer,
    TimerFired,
)
from sumacpost.policy.gateway import Gateway
from tests.support.builders import (
    IDEMPOTENT_CLASS,
    KEYED_ALL_CLASS,
    NOT_IDEMPOTENT_CLASS,
    START_MS,
    actions_of_type,
    attempt_ended,
    gateway,
    request_arrived,
)

HEDGING: dict[str, Any] = {
    "hedging": True,
    "classes": (IDEMPOTENT_CLASS, KEYED_ALL_CLASS, NOT_IDEMPOTENT_CLASS),
}
IDEMPOTENT, WITH_KEY, NOT_IDEMPOTENT = range(3)

hedged_classes = pytest.mark.parametrize("class_index", [IDEMPOTENT, WITH_KEY])


class Overdue(NamedTuple):
    """A request whose first attempt is overdue at the time `now`, when its timer fires."""

    first: Send
    timer: SetTimer
    now: float


def start(g: Gateway, number: int, class_index: int, now: float = START_MS) -> Overdue:
    first, timer = g.handle(now, request_arrived(number, class_index))
    assert isinstance(first, Send)
    assert isinstance(timer, SetTimer)
    return Overdue(first, timer, now + timer.after_ms)


def hedge(g: Gateway, overdue: Overdue) -> Send:
    """Fire the timer and return the hedged attempt."""
    second = g.handle(overdue.now, TimerFired(overdue.timer.label))[0]
    assert isinstance(second, Send)
    return second


@hedged_classes
def test_hedged_request_uses_another_backend_and_its_response_cancels_the_first(
    class_index: int,
) -> None:
    g = gateway(**HEDGING)
    overdue = start(g, 1, class_index)
    second = hedge(g, overdue)
    assert second.backend != overdue.first.backend
    later = overdue.now + 50
    assert g.handle(later, attempt_ended(1, second.backend, attempt=1, elapsed_ms=50)) == [
        Cancel(1, 0)
    ]
    assert g.handle(later, attempt_ended(1, overdue.first.backend, Outcome.CANCELLED)) == []


def test_answered_request_is_not_hedged() -> None:
    g = gateway(**HEDGING)
    overdue = start(g, 1, IDEMPOTENT)
    g.handle(START_MS + 50, attempt_ended(1, overdue.first.backend))
    assert g.handle(overdue.now, TimerFired(overdue.timer.label)) == []


def test_request_that_is_not_idempotent_gets_no_timer() -> None:
    g = gateway(**HEDGING)
    (action,) = g.handle(START_MS, request_arrived(2, NOT_IDEMPOTENT))
    assert isinstance(action, Send)


@hedged_classes
def test_request_is_rejected_only_once_no_attempt_is_in_flight(class_index: int) -> None:
    """Guard against a rejection while an attempt may still run: it promises that none does."""
    g = gateway(1, 2, **HEDGING)
    overdue = start(g, 1, class_index)
    second = hedge(g, overdue)
    g.retries.retry_tokens = 0.0
    reset = attempt_ended(1, second.backend, Outcome.RESET, attempt=1, elapsed_ms=10)
    assert g.handle(overdue.now + 10, reset) == []
    later = overdue.now + 20
    reset = attempt_ended(1, overdue.first.backend, Outcome.RESET, elapsed_ms=later - START_MS)
    (rejection,) = g.handle(later, reset)
    assert isinstance(rejection, Reject)


def test_silent_fleet_gets_a_bounded_number_of_hedged_requests() -> None:
    g = gateway(*range(1, 9), **HEDGING)
    timers: list[tuple[float, int]] = []  # time and label of each
    first_attempts = 0
    hedged = 0

    def handle(now: float, event: Event) -> int:
        """Pass on the event, record the timers, and return the number of attempts started."""
        actions = g.handle(now, event)
        timers.extend(
            (now + timer.after_ms, timer.label) for timer in actions_of_type(actions, SetTimer)
        )
        return len(actions_of_type(actions, Send))

    for number in range(1000):
        now = START_MS + number * 10
        for due in [timer for timer in timers if timer[0] <= now]:
            timers.remove(due)
            hedged += handle(now, TimerFired(due[1]))
        first_attempts += handle(now, request_arrived(number))
    assert first_attempts > 0
    assert hedged <= 0.1 * 1000 + 10


def test_overdue_attempt_that_is_cancelled_counts_against_its_backend() -> None:
    """Guard against repeated attempts at a machine that has disappeared.

    All of them are hedged and then cancelled, so that none ends as a failure.
    """
    g = gateway(1, 2, **HEDGING)
    for number in range(4):
        sent_at = START_MS + number * 5000
        overdue = start(g, number, IDEMPOTENT, sent_at)
        second = hedge(g, overdue)
        later = overdue.now + 1
        g.handle(later, attempt_ended(number, second.backend, attempt=1, elapsed_ms=1))
        inflation = g.endpoints.backends[overdue.first.backend].inflation_by_class[IDEMPOTENT]
        before = inflation.current(later)
        cancelled = attempt_ended(
            number, overdue.first.backend, Outcome.CANCELLED, elapsed_ms=later - sent_at
        )
        g.handle(later, cancelled)
        assert inflation.current(later) > before + 0.1


@pytest.mark.parametrize(
    "outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT]
)
@pytest.mark.parametrize("cancelled_first", [True, False])
def test_client_that_leaves_as_an_attempt_ends_gets_no_further_attempt(
    outcome: Outcome, cancelled_first: bool
) -> None:
    """Guard against an attempt for a client that has disconnected.

    Both events occur in one iteration of the event loop, in either order, before the timer fires.
    """
    g = gateway(1, 2, 3, hedging=True)
    overdue = start(g, 1, IDEMPOTENT)
    end = attempt_ended(1, overdue.first.backend, outcome, elapsed_ms=5.0)
    if cancelled_first:
        assert not actions_of_type(g.handle(START_MS + 5, RequestCancelled(1)), Send)
        assert not actions_of_type(g.handle(START_MS + 5, replace(end, concluded=True)), Send)
    else:
        g.handle(START_MS + 5, replace(end, concluded=False))
        assert not actions_of_type(g.handle(START_MS + 5, RequestCancelled(1)), Send)
    assert g.handle(overdue.now, TimerFired(overdue.timer.label)) == []
    assert not g.pending
