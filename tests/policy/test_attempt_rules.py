"""Which attempts may be repeated and written, for each kind of idempotency."""

from __future__ import annotations

import pytest

from sumacpost.model import DenialReason, RequestClass, Send
from sumacpost.policy.attempt_rules import (
    ARRIVAL_MARGIN_MS,
    repeat_denial_reason,
    write_denial_reason,
)
from sumacpost.policy.backend import InFlightAttempt
from sumacpost.policy.gateway import Gateway
from sumacpost.policy.pending_request import PendingRequest
from tests.support.builders import (
    IDEMPOTENT_CLASS,
    KEYED_ALL_CLASS,
    KEYED_CELL_CLASS,
    NOT_IDEMPOTENT_CLASS,
    START_MS,
    gateway,
    only_action,
    request_arrived,
    settings,
)

SETTINGS = settings(hedging=True)


def sent_request(request_class: RequestClass) -> tuple[Gateway, PendingRequest]:
    """Return a gateway and a request with one attempt in flight."""
    subject = gateway(classes=(request_class,), hedging=True)
    only_action(Send, subject.handle(START_MS, request_arrived(1, time_left_ms=6000.0)))
    (pending,) = subject.pending.values()
    return subject, pending


def add_attempt(subject: Gateway, pending: PendingRequest, same_cell: bool) -> int:
    """Add a second attempt, at another backend of the same or another cell; return its number."""
    first = pending.attempted_backends[0].endpoint
    pending.attempted_backends.append(
        next(
            backend
            for backend in subject.endpoints.backends.values()
            if backend.endpoint is not first and (backend.endpoint.cell == first.cell) is same_cell
        )
    )
    pending.in_flight[1] = InFlightAttempt(START_MS, 1.0, 1.0, 0, START_MS + 100)
    return 1


@pytest.mark.parametrize(
    ("request_class", "reason"),
    [
        (IDEMPOTENT_CLASS, None),
        (KEYED_CELL_CLASS, None),
        (KEYED_ALL_CLASS, None),
        (NOT_IDEMPOTENT_CLASS, DenialReason.NOT_REPEATABLE),
    ],
)
def test_a_request_that_may_have_run_is_repeated_as_its_class_permits(
    request_class: RequestClass, reason: DenialReason | None
) -> None:
    _, pending = sent_request(request_class)
    assert repeat_denial_reason(START_MS + 1, pending, SETTINGS) is None
    pending.record_possible_execution(0, START_MS)
    assert repeat_denial_reason(START_MS + 1, pending, SETTINGS) is reason


def test_a_keyed_request_is_repeated_only_if_it_arrives_within_the_window() -> None:
    _, pending = sent_request(KEYED_CELL_CLASS)
    pending.record_possible_execution(0, START_MS)
    arrival_ms = SETTINGS.connect_timeout_ms + ARRIVAL_MARGIN_MS
    last = START_MS + KEYED_CELL_CLASS.deduplication_window_ms - arrival_ms
    assert repeat_denial_reason(last - 1, pending, SETTINGS) is None
    assert repeat_denial_reason(last, pending, SETTINGS) is DenialReason.WINDOW_OVER


@pytest.mark.parametrize(
    ("request_class", "same_cell", "reason"),
    [
        (IDEMPOTENT_CLASS, False, None),
        (KEYED_CELL_CLASS, True, None),
        (KEYED_CELL_CLASS, False, DenialReason.OUT_OF_SCOPE),
        (KEYED_ALL_CLASS, False, None),
        (NOT_IDEMPOTENT_CLASS, True, DenialReason.SECOND_COPY),
    ],
)
def test_a_second_copy_is_written_as_its_class_permits(
    request_class: RequestClass, same_cell: bool, reason: DenialReason | None
) -> None:
    subject, pending = sent_request(request_class)
    pending.record_possible_execution(0, START_MS)
    number = add_attempt(subject, pending, same_cell)
    assert write_denial_reason(START_MS + 1, pending, number, True, SETTINGS) is reason


def test_no_second_copy_is_written_without_hedging() -> None:
    subject, pending = sent_request(IDEMPOTENT_CLASS)
    number = add_attempt(subject, pending, True)
    unhedged = settings(hedging=False)
    assert (
        write_denial_reason(START_MS + 1, pending, number, True, unhedged)
        is DenialReason.SECOND_COPY
    )


def test_a_request_that_is_not_idempotent_and_may_have_run_is_not_written_again() -> None:
    subject, pending = sent_request(NOT_IDEMPOTENT_CLASS)
    pending.record_possible_execution(0, START_MS)
    number = add_attempt(subject, pending, True)
    del pending.in_flight[0]
    found = write_denial_reason(START_MS + 1, pending, number, True, SETTINGS)
    assert found is DenialReason.NOT_REPEATABLE


def test_nothing_is_written_after_the_deadline_or_the_window_or_to_a_backend_not_ready() -> None:
    subject, pending = sent_request(KEYED_CELL_CLASS)
    assert write_denial_reason(START_MS + 1, pending, 0, True, SETTINGS) is None
    assert (
        write_denial_reason(START_MS + 1, pending, 0, False, SETTINGS)
        is DenialReason.BACKEND_NOT_READY
    )
    assert (
        write_denial_reason(pending.deadline, pending, 0, True, SETTINGS) is DenialReason.DEADLINE
    )
    pending.record_possible_execution(0, START_MS)
    number = add_attempt(subject, pending, True)
    late = START_MS + KEYED_CELL_CLASS.deduplication_window_ms - ARRIVAL_MARGIN_MS
    assert write_denial_reason(late, pending, number, True, SETTINGS) is DenialReason.WINDOW_OVER


def test_a_concluded_request_is_not_written() -> None:
    subject, _pending = sent_request(IDEMPOTENT_CLASS)
    assert subject.write_denial_reason(START_MS + 1, 1, 0) is None
    subject.pending.clear()
    assert subject.write_denial_reason(START_MS + 1, 1, 0) is DenialReason.CONCLUDED
