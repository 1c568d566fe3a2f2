"""Which requests are retried, and at which backends."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sumacpost.model import Action, EndpointStatus, Fail, Outcome, Reject, Send, UpdateKind
from sumacpost.policy.gateway import Gateway
from tests.support.builders import (
    START_MS,
    actions_of_type,
    attempt_ended,
    endpoint_list_update,
    gateway,
    only_action,
    request_arrived,
)

# Indexes of the classes in the default settings, by idempotency and deduplication scope.
IDEMPOTENT, KEY_IN_CELL, KEY_ANYWHERE, NOT_IDEMPOTENT = range(4)
POSSIBLY_EXECUTED = (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)
NEVER_EXECUTED = (Outcome.REJECTED, Outcome.CONNECT_FAILED)


def first_send(g: Gateway, number: int, class_index: int, now: float = START_MS) -> Send:
    return only_action(Send, g.handle(now, request_arrived(number, class_index)))


@pytest.mark.parametrize("outcome", POSSIBLY_EXECUTED + NEVER_EXECUTED)
@pytest.mark.parametrize("class_index", [IDEMPOTENT, KEY_IN_CELL, KEY_ANYWHERE, NOT_IDEMPOTENT])
def test_retry_follows_idempotency_and_whether_the_attempt_can_have_run(
    class_index: int, outcome: Outcome
) -> None:
    g = gateway()
    send = first_send(g, 1, class_index)
    (action,) = g.handle(START_MS + 50, attempt_ended(1, send.backend, outcome))
    if class_index == NOT_IDEMPOTENT and outcome in POSSIBLY_EXECUTED:
        assert isinstance(action, Fail)
        return
    assert isinstance(action, Send)
    if class_index == KEY_IN_CELL and outcome in POSSIBLY_EXECUTED:
        assert action.backend % 2 == send.backend % 2  # in the same cell
    else:
        assert action.backend != send.backend


@pytest.mark.parametrize(
    ("class_index", "kind"),
    [
        (KEY_IN_CELL, Fail),
        (KEY_ANYWHERE, Reject),
        (NOT_IDEMPOTENT, Fail),
        (IDEMPOTENT, Reject),
    ],
)
def test_nothing_is_retried_after_the_window_or_rejected_if_a_retry_is_unsafe(
    class_index: int, kind: type[Action]
) -> None:
    g = gateway(max_attempts=3 if class_index in (KEY_IN_CELL, KEY_ANYWHERE) else 1)
    send = first_send(g, 1, class_index)
    (action,) = g.handle(
        START_MS + 3000, attempt_ended(1, send.backend, Outcome.RESET, elapsed_ms=3000)
    )
    assert isinstance(action, kind)


def test_timeout_at_the_deadline_gets_its_final_response() -> None:
    g = gateway()
    send = first_send(g, 1, IDEMPOTENT)
    (action,) = g.handle(
        START_MS + 4000, attempt_ended(1, send.backend, Outcome.TIMEOUT, elapsed_ms=4000)
    )
    assert isinstance(action, Reject)


def test_failures_cause_a_bounded_number_of_retries() -> None:
    g = gateway(*range(1, 9))
    attempts = 0
    for number in range(500):
        now = START_MS + number * 10
        sends = actions_of_type(g.handle(now, request_arrived(number)), Send)
        attempt = 0
        while sends:
            attempts += 1
            failed = attempt_ended(number, sends[0].backend, Outcome.ERROR, attempt, 1)
            sends = actions_of_type(g.handle(now, failed), Send)
            attempt += 1
    assert attempts <= 500 * 1.1 + 10


def test_no_attempt_is_sent_to_a_draining_or_unlisted_backend() -> None:
    g = gateway(1, 2)
    send = first_send(g, 1, IDEMPOTENT)
    other = 3 - send.backend
    g.handle(
        START_MS + 10,
        endpoint_list_update(other, state=EndpointStatus.DRAINING, kind=UpdateKind.CHANGES),
    )
    (action,) = g.handle(START_MS + 20, attempt_ended(1, send.backend, Outcome.REJECTED))
    assert isinstance(action, Send)
    assert action.backend == send.backend
    g.handle(START_MS + 30, endpoint_list_update(7))  # a full list without backends 1 and 2
    assert first_send(g, 2, IDEMPOTENT, START_MS + 4000).backend == 7


@pytest.mark.parametrize(("connect_timeout_ms", "retried"), [(250.0, True), (1400.0, False)])
def test_no_retry_by_key_if_connecting_may_take_until_after_the_window(
    connect_timeout_ms: float, retried: bool
) -> None:
    """Guard against a retry that arrives after the deduplication window.

    1.6 s of the window of 3 s have elapsed when the retry starts to connect.
    """
    g = gateway(1, 2, 3, connect_timeout_ms=connect_timeout_ms)
    send = first_send(g, 1, KEY_ANYWHERE)
    actions = g.handle(
        START_MS + 1600, attempt_ended(1, send.backend, Outcome.RESET, elapsed_ms=1600.0)
    )
    assert bool(actions_of_type(actions, Send)) is retried
    assert bool(actions_of_type(actions, Reject)) is not retried


@pytest.mark.parametrize(("elapsed_ms", "retried"), [(2600.0, True), (2800.0, False)])
def test_no_retry_by_key_if_less_than_the_connect_timeout_is_left_of_the_window(
    elapsed_ms: float, retried: bool
) -> None:
    """Guard against a retry that connects in time but arrives after the deduplication window.

    An attempt may need the whole connect timeout before its last byte is written.
    """
    g = gateway(1, 2, 3, 4)
    send = first_send(g, 1, KEY_ANYWHERE)
    actions = g.handle(
        START_MS + elapsed_ms, attempt_ended(1, send.backend, Outcome.RESET, elapsed_ms=elapsed_ms)
    )
    assert isinstance(actions[0], Send) is retried


@pytest.mark.parametrize("outcome", list(Outcome))
def test_request_that_is_not_idempotent_is_retried_only_if_it_never_ran(outcome: Outcome) -> None:
    g = gateway(1, 2, 3, hedging=True)
    (send,) = g.handle(
        START_MS, request_arrived(1, request_class=NOT_IDEMPOTENT)
    )  # no timer for hedging
    assert isinstance(send, Send)
    end = replace(
        attempt_ended(1, send.backend, outcome, elapsed_ms=5.0), concluded=outcome is Outcome.OK
    )
    actions = g.handle(START_MS + 5, end)
    assert bool(actions_of_type(actions, Send)) is outcome.never_ran
    assert bool(actions_of_type(actions, Fail)) is (
        outcome is not Outcome.OK and not outcome.never_ran
    )


def test_retry_by_key_stays_in_its_cell_after_its_backend_left_the_list() -> None:
    g = gateway(1, 2, 3, 4)
    send = first_send(g, 1, KEY_IN_CELL)
    g.handle(START_MS + 1, endpoint_list_update(*[n for n in (1, 2, 3, 4) if n != send.backend]))
    actions = g.handle(START_MS + 50, attempt_ended(1, send.backend, Outcome.RESET, elapsed_ms=50))
    retry = actions_of_type(actions, Send)[0]
    assert retry.backend % 2 == send.backend % 2
