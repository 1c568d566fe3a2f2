"""The rules on what clients get."""

from __future__ import annotations

from collections.abc import Iterable

from fleetlab.http_connection import HTTP_OK
from fleetlab.soak.client import MAX_LATENESS_S
from fleetlab.soak.evidence import (
    PAUSE_ALLOWANCE_S,
    SLACK_S,
    Evidence,
    Violation,
    first_termination_signal_at,
    may_have_run,
)
from fleetlab.soak.population import BAD_CLIENT_DEADLINE_S
from fleetlab.soak.records import AttemptResult, ClientRequest, Effect, ProcessRecord
from fleetlab.soak.site import SIGKILL_GRACE_S

TRANSIT_S = 0.02  # from a conclusion to its client, or from a backend to the ingress
MIN_IDLE_CLOSE_S = 1.0  # after which a silent new connection may be closed


def check_lost_requests(evidence: Evidence) -> Iterable[Violation]:
    """Each request that an ingress has taken gets a whole response in time.

    Excused: its client left, or its process was killed without a warning, or by a SIGKILL that came
    up to 0.7 s after the request had been sent to a process told to end. A connection at rest may
    be closed as a request crosses the close; then the ingress must not have read it.
    """
    accepted = evidence.accepted_ids()
    forwarded = evidence.attempts_by_request()
    for request in evidence.record.requests:
        if request.sent_at is None or request.left_at is not None:
            continue
        if request.answered_at is not None:
            late_s = request.answered_at - request.sent_at - request.timeout_s
            interval = (request.sent_at, request.answered_at)
            if not evidence.check_bound(
                "late", late_s, MAX_LATENESS_S + SLACK_S, request.ingress, interval
            ):
                yield _lost_violation(request, f"answered {late_s:.3f} s after its time")
            continue
        process = evidence.process_at(request.ingress, request.sent_at)
        if process is None or _killed_without_warning(process, request):
            continue
        accepted_or_forwarded = request.request_id in accepted or request.request_id in forwarded
        if accepted_or_forwarded:
            yield _lost_violation(request, "taken, and never answered whole")
        elif request.ended_at is None:
            yield _lost_violation(request, "neither answered nor closed")
        elif _open_at_sigkill(process, request):
            yield _lost_violation(request, "unanswered at SIGKILL, on a connection still open")
        elif _closed_while_new(request) and not (
            evidence.crowd or _closed_in_drain(process, request)
        ):
            yield _lost_violation(request, "a new connection was closed with no response")


def _closed_while_new(request: ClientRequest) -> bool:
    """Return whether a connection was closed before it can have been taken for one at rest."""
    return request.first_on_connection and request.rested_s < MIN_IDLE_CLOSE_S


def _lost_violation(request: ClientRequest, how: str) -> Violation:
    return Violation("lost", request.request_id, f"to {request.ingress}: {how}: {request}")


def _killed_without_warning(process: ProcessRecord, request: ClientRequest) -> bool:
    killed_at = process.signalled_at("SIGKILL")
    terminated_at = first_termination_signal_at(process)
    if killed_at is None:
        return False
    ended_at = request.ended_at if request.ended_at is not None else killed_at
    return terminated_at is None and ended_at >= killed_at - SLACK_S


def _open_at_sigkill(process: ProcessRecord, request: ClientRequest) -> bool:
    killed_at = process.signalled_at("SIGKILL")
    if killed_at is None or request.ended_at is None or request.sent_at is None:
        return False
    return (
        request.ended_at >= killed_at
        and request.sent_at > (first_termination_signal_at(process) or 0) + SIGKILL_GRACE_S
    )


def _closed_in_drain(process: ProcessRecord, request: ClientRequest) -> bool:
    terminated_at = first_termination_signal_at(process)
    return (
        terminated_at is not None
        and request.ended_at is not None
        and request.ended_at > terminated_at
    )


def check_response_bodies(evidence: Evidence) -> Iterable[Violation]:
    """A response of 200 has the body that a backend has made for this very request."""
    forwarded = evidence.attempts_by_request()
    for request in evidence.record.requests:
        if request.status != HTTP_OK:
            continue
        served_bodies = [
            attempt.body
            for attempt in forwarded.get(request.request_id, ())
            if attempt.result is AttemptResult.SERVED
        ]
        if request.body not in served_bodies:
            yield Violation(
                "served_unmade", request.request_id, f"{request.body!r}, made: {served_bodies}"
            )


def check_extra_responses(evidence: Evidence) -> Iterable[Violation]:
    """Nothing comes on a connection after the last response that it owes."""
    for request in evidence.record.requests:
        if request.extra_bytes:
            yield Violation("answered_twice", request.request_id, str(request))


def check_rejections(evidence: Evidence) -> Iterable[Violation]:
    """A request that is not idempotent is rejected only where no attempt of it may have run."""
    forwarded = evidence.attempts_by_request()
    for request in evidence.record.requests:
        if request.effect is not Effect.NOT_IDEMPOTENT or request.status not in (429, 503):
            continue
        executed = [a for a in forwarded.get(request.request_id, ()) if may_have_run(a)]
        if executed:
            yield Violation("rejected_after_run", request.request_id, f"{request}: {executed}")


def check_bad_clients(evidence: Evidence) -> Iterable[Violation]:
    """A client that sends no valid request is not left waiting."""
    allowed_s = BAD_CLIENT_DEADLINE_S + SLACK_S + PAUSE_ALLOWANCE_S
    for client in evidence.record.bad_clients:
        waited_s = float("inf")
        if client.concluded_at is not None:
            waited_s = client.concluded_at - client.sent_at
        interval = (client.sent_at, client.sent_at + waited_s)
        if not evidence.check_bound(
            "bad_client_waits", waited_s, allowed_s, client.ingress, interval
        ):
            yield Violation("bad_client_waits", client.ingress, f"{waited_s:.3f} s: {client}")


def check_unbounded_responses(evidence: Evidence) -> Iterable[Violation]:
    """A response without a length that comes whole reaches its client.

    Excused: the request was concluded before, by another attempt or at its deadline, which the
    ingress sets so early that its own response still crosses to the client in time; or its
    connection may have broken before all was read.
    """
    answered = {r.request_id: r for r in evidence.record.requests if r.answered_at is not None}
    for attempt in evidence.record.attempts:
        request = answered.get(attempt.request_id)
        if not attempt.unbounded or attempt.result is not AttemptResult.SERVED or request is None:
            continue
        if request.body == attempt.body:
            continue
        assert request.answered_at is not None
        assert request.sent_at is not None
        ended_at = request.answered_at if attempt.ended_at is None else attempt.ended_at
        if ended_at > request.sent_at + request.timeout_s - TRANSIT_S:
            continue
        if evidence.had_broken_connections(
            request.ingress, attempt.received_at, request.answered_at
        ):
            continue
        earlier_s = request.answered_at - ended_at
        interval = (ended_at, request.answered_at)
        if not evidence.check_bound(
            "unbounded_kept", earlier_s, TRANSIT_S, request.ingress, interval
        ):
            yield Violation("unbounded_kept", attempt.request_id, f"{attempt}: {request}")
