"""Oracles for the responses that clients receive."""

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

TRANSIT_S = 0.02  # transit time of a response, ingress to client or backend to ingress
MIN_IDLE_CLOSE_S = 1.0  # age from which a new connection without a request may be closed


def check_lost_requests(evidence: Evidence) -> Iterable[Violation]:
    """Check that each request accepted by an ingress gets a complete response in time.

    Excused are requests whose client disconnected, requests sent while the ingress had no process,
    and requests to a process that was killed without an earlier SIGTERM or SIGINT. An idle
    connection may be closed while a request is in transit to it; then the ingress must not have
    read the request: it has if it logged or forwarded it, or if the request was in its socket
    before the connection ended in order, as a close over unread bytes resets the connection (in a
    drain the sending ends first, so that shows nothing). A request is lost as well if its
    connection was not closed, if it was sent more than 0.7 s after the first SIGTERM or SIGINT and
    its connection was still open at SIGKILL, or if its connection was new and neither a drain nor a
    crowd of idle clients explains the close.
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
                yield _lost_violation(request, f"answered {late_s:.3f} s after its deadline")
            continue
        process = evidence.process_at(request.ingress, request.sent_at)
        if process is None or _killed_without_termination(process, request):
            continue
        known = request.request_id in accepted or request.request_id in forwarded
        if how := _how_lost(evidence, process, request, known):
            yield _lost_violation(request, how)


def _how_lost(
    evidence: Evidence, process: ProcessRecord, request: ClientRequest, known: bool
) -> str | None:
    """Return how a request without a response was lost, or None if it may go without one.

    known: whether the ingress accepted or forwarded the request.
    """
    if known:
        return "accepted or forwarded, but without a complete response"
    if request.ended_at is None:
        return "no response, and the connection was not closed"
    if _open_at_sigkill(process, request):
        return "no response before SIGKILL, on a connection still open"
    if _closed_in_drain(process, request):
        return None
    if _was_read(request):
        return "read, and its connection was closed in order without a response"
    new_lost = _closed_while_new(request) and not evidence.crowd
    return "a new connection was closed without a response" if new_lost else None


def _was_read(request: ClientRequest) -> bool:
    """Return whether the way in which the connection ended shows that the request had been read."""
    return request.open_when_sent and request.ended_in_order


def _closed_while_new(request: ClientRequest) -> bool:
    """Return whether a connection was closed before the ingress could treat it as idle."""
    return request.first_on_connection and request.rested_s < MIN_IDLE_CLOSE_S


def _lost_violation(request: ClientRequest, how: str) -> Violation:
    return Violation("lost", request.request_id, f"to {request.ingress}: {how}: {request}")


def _killed_without_termination(process: ProcessRecord, request: ClientRequest) -> bool:
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
    """Check that each response of 200 has a body that a backend served for the same request."""
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
                "served_unmade", request.request_id, f"{request.body!r}, served: {served_bodies}"
            )


def check_extra_responses(evidence: Evidence) -> Iterable[Violation]:
    """Check that no bytes arrive on a connection without a pending response."""
    for request in evidence.record.requests:
        if request.extra_bytes:
            yield Violation("answered_twice", request.request_id, str(request))


def check_rejections(evidence: Evidence) -> Iterable[Violation]:
    """Check that non-idempotent requests are rejected only if no attempt may have run."""
    forwarded = evidence.attempts_by_request()
    for request in evidence.record.requests:
        if request.effect is not Effect.NOT_IDEMPOTENT or request.status not in (429, 503):
            continue
        attempts_that_may_have_run = [
            a for a in forwarded.get(request.request_id, ()) if may_have_run(a)
        ]
        if attempts_that_may_have_run:
            yield Violation(
                "rejected_after_run", request.request_id, f"{request}: {attempts_that_may_have_run}"
            )


def check_bad_clients(evidence: Evidence) -> Iterable[Violation]:
    """Check that clients with an invalid or incomplete request get an error or a close in time."""
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
    """Check that a complete response without a stated length reaches its client.

    Excused are requests that another attempt concluded before, and those concluded at the deadline,
    which the ingress sets early enough for its own response to reach the client in time; and
    requests whose connection to the backend may have broken before the response was read.
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
