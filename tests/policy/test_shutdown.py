"""The shutdown schedule for any longest deadline, and the gateway's reaction to a drain."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sumacpost.model import DrainStarted, Idempotency, Outcome, Reject, RequestClass, Send
from sumacpost.policy.shutdown import shutdown_schedule
from tests.support.builders import START_MS, attempt_ended, gateway, only_action, request_arrived


def request_class(deadline_ms: float) -> RequestClass:
    return RequestClass(deadline_ms / 2, deadline_ms, 1.0, Idempotency.NOT_IDEMPOTENT)


@pytest.mark.parametrize(
    ("deadlines_ms", "kill_after_ms"),
    [((4000.0,), 3700.0), ((2300.0,), 3000.0), ((600.0, 900.0), 1600.0), ((200.0, 9000.0), 3700.0)],
)
def test_sigkill_follows_the_longest_deadline_counted_as_three_seconds_at_most(
    deadlines_ms: tuple[float, ...], kill_after_ms: float
) -> None:
    assert shutdown_schedule([request_class(ms) for ms in deadlines_ms]).kill_after_ms == (
        kill_after_ms
    )


@given(st.lists(st.floats(1.0, 60_000.0), min_size=1, max_size=5))
def test_steps_of_a_shutdown_are_in_order_and_before_sigkill(
    deadlines_ms: list[float],
) -> None:
    schedule = shutdown_schedule([request_class(ms) for ms in deadlines_ms])
    steps = [
        schedule.min_accept_ms,
        schedule.max_accept_ms,
        schedule.respond_within_ms,
        schedule.exit_within_ms,
        schedule.kill_after_ms,
    ]
    assert steps == sorted(steps)
    assert schedule.kill_after_ms - schedule.respond_within_ms >= 2 * 150
    assert schedule.min_accept_ms >= 400  # new connections may arrive for this long


@pytest.mark.parametrize("drained", [True, False])
def test_a_pending_request_is_concluded_and_not_retried_at_the_end_of_a_drain(
    drained: bool,
) -> None:
    """Guard against a retry that would be lost when the process exits.

    The request's own deadline is later than the end of the drain.
    """
    subject = gateway()
    sent = only_action(Send, subject.handle(START_MS, request_arrived(1, time_left_ms=4000.0)))
    if drained:
        subject.handle(START_MS + 100, DrainStarted(1000.0))
    end = attempt_ended(1, sent.backend, Outcome.TIMEOUT)
    only_action(Reject if drained else Send, subject.handle(START_MS + 1100, end))
