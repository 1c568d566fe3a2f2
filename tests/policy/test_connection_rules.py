"""Whether a client connection may be closed, and which response is its last."""

from __future__ import annotations

import pytest

from sumacpost.policy.connection_rules import (
    MIN_REFUSED_BYTES,
    CloseAction,
    CloseCause,
    CloseDenialReason,
    ConnectionSnapshot,
    close_action,
    close_denial_reason,
    is_last_response,
)


@pytest.mark.parametrize(
    ("snapshot", "reason"),
    [
        (ConnectionSnapshot(0, 0, False, False), None),
        (ConnectionSnapshot(1, 5, True, True), CloseDenialReason.RESPONSE_OWED),
        (ConnectionSnapshot(0, 5, True, True), CloseDenialReason.REQUEST_READ),
        (ConnectionSnapshot(0, 0, True, True), CloseDenialReason.REQUEST_INCOMPLETE),
        (ConnectionSnapshot(0, 0, False, True), CloseDenialReason.REQUEST_UNREAD),
        (ConnectionSnapshot(0, 0, False, False, 7), CloseDenialReason.RESPONSE_UNSENT),
    ],
)
def test_a_connection_is_closed_only_without_received_or_unanswered_requests(
    snapshot: ConnectionSnapshot, reason: CloseDenialReason | None
) -> None:
    assert close_denial_reason(snapshot) is reason


@pytest.mark.parametrize(
    ("keep_alive", "ending", "has_pending_requests", "last"),
    [
        (True, False, False, False),
        (False, False, False, True),
        (True, True, False, True),
        (True, True, True, False),
    ],
)
def test_the_last_response_is_one_without_keep_alive_or_the_last_of_a_drain(
    keep_alive: bool, ending: bool, has_pending_requests: bool, last: bool
) -> None:
    assert is_last_response(keep_alive, ending, has_pending_requests) is last


NOTHING = ConnectionSnapshot(0, 0, False, False)
OWED = ConnectionSnapshot(1, 0, False, False)
READ = ConnectionSnapshot(0, 5, True, False)
INCOMPLETE = ConnectionSnapshot(0, 0, True, False)
INCOMPLETE_UNREAD = ConnectionSnapshot(0, 0, True, True)
UNREAD = ConnectionSnapshot(0, 0, False, True)
UNSENT = ConnectionSnapshot(0, 0, False, False, 7)
KEEP, CLOSE, REJECT, REFUSE, ABORT = CloseAction
MEMORY_CAUSES = {CloseCause.INPUT_MEMORY, CloseCause.OUTPUT_MEMORY}


@pytest.mark.parametrize("cause", CloseCause)
@pytest.mark.parametrize("stalled", [False, True])
@pytest.mark.parametrize("unsent_bytes", [0, 7])
def test_no_cause_closes_a_connection_with_a_request_that_was_read(
    cause: CloseCause, stalled: bool, unsent_bytes: int
) -> None:
    # Guards against a fallback that closes some connection although none may be closed (review/6).
    allowed = {
        CloseCause.INPUT_MEMORY: REFUSE,  # after the responses that are owed
        CloseCause.OUTPUT_MEMORY: ABORT,  # the client reads nothing
    }.get(cause, KEEP)
    owed = ConnectionSnapshot(1, 0, True, True, unsent_bytes, stalled)
    assert close_action(cause, owed) is allowed
    read = ConnectionSnapshot(0, 5, True, True, unsent_bytes, is_output_stalled=False)
    assert close_action(cause, read) is allowed


@pytest.mark.parametrize("cause", [cause for cause in CloseCause if cause not in MEMORY_CAUSES])
def test_only_in_an_overload_are_many_requests_refused_that_were_read(cause: CloseCause) -> None:
    # Guards against clients that send hundreds of requests at once and keep new ones out.
    many = ConnectionSnapshot(0, MIN_REFUSED_BYTES, True, True)
    assert close_action(cause, many) is (REFUSE if cause is CloseCause.OVERLOAD else KEEP)
    owed = ConnectionSnapshot(1, MIN_REFUSED_BYTES, True, True)
    assert close_action(cause, owed) is KEEP


@pytest.mark.parametrize(
    ("cause", "actions"),
    [
        (CloseCause.EVICTION, (CLOSE, REJECT, KEEP, KEEP, KEEP)),
        (CloseCause.OVERLOAD, (CLOSE, KEEP, KEEP, KEEP, KEEP)),
        (CloseCause.IDLE_LIMIT, (CLOSE, KEEP, KEEP, KEEP, KEEP)),
        (CloseCause.IDLE_TIMEOUT, (CLOSE, KEEP, KEEP, KEEP, CLOSE)),
        (CloseCause.REQUEST_TIMEOUT, (CLOSE, REJECT, REJECT, KEEP, CLOSE)),
        (CloseCause.LAST_RESPONSE, (CLOSE, REJECT, REJECT, CLOSE, CLOSE)),
        (CloseCause.LINGER_TIMEOUT, (ABORT, ABORT, ABORT, ABORT, KEEP)),
        (CloseCause.INPUT_MEMORY, (CLOSE, REFUSE, REFUSE, KEEP, KEEP)),
        (CloseCause.OUTPUT_MEMORY, (CLOSE, ABORT, ABORT, ABORT, ABORT)),
    ],
)
def test_what_is_done_depends_on_the_cause_and_on_what_would_be_lost(
    cause: CloseCause, actions: tuple[CloseAction, ...]
) -> None:
    snapshots = (NOTHING, INCOMPLETE, INCOMPLETE_UNREAD, UNREAD, UNSENT)
    assert tuple(close_action(cause, snapshot) for snapshot in snapshots) == actions


@pytest.mark.parametrize(
    "cause", [CloseCause.IDLE_TIMEOUT, CloseCause.REQUEST_TIMEOUT, CloseCause.LINGER_TIMEOUT]
)
def test_a_client_that_reads_no_responses_loses_them_and_its_unanswered_requests(
    cause: CloseCause,
) -> None:
    stalled = ConnectionSnapshot(0, 5, False, False, 7, is_output_stalled=True)
    assert close_action(cause, stalled) is ABORT
