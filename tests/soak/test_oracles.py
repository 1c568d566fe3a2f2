"""Each oracle reports violations of its rule, and accepts what the rule allows."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from fleetlab.soak.evidence import Evidence
from fleetlab.soak.oracles import find_violations
from fleetlab.soak.process_oracles import check_logs
from fleetlab.soak.records import (
    AttemptResult,
    BackendStart,
    BadClient,
    Effect,
    ListChange,
    ProcessWait,
)
from tests.soak.builders import (
    ACCEPTED,
    DRAINED,
    HANGING,
    KILLED,
    PAUSED,
    SERVED,
    SITE,
    attempt,
    burst_from_two_ingresses,
    evidence,
    process_record,
    served_request,
    startup_burst,
    unanswered_request,
)

VIOLATIONS: dict[str, tuple[str, Callable[[], Evidence]]] = {
    "an accepted request is never answered": (
        "lost",
        lambda: evidence(unanswered_request(), log=ACCEPTED, attempts=[HANGING]),
    ),
    "a forwarded request without a log line is never answered": (
        "lost",
        lambda: evidence(unanswered_request(), attempts=[HANGING]),
    ),
    "a request is not answered and its connection is not closed": (
        "lost",
        lambda: evidence(unanswered_request(ended_at=None)),
    ),
    "a response is late": (
        "lost",
        lambda: evidence(served_request(answered_at=12.7), attempts=[SERVED]),
    ),
    "a new connection is closed without a response": (
        "lost",
        lambda: evidence(unanswered_request(first_on_connection=True)),
    ),
    "a request that was read is dropped beside a crowd": (
        "lost",
        lambda: evidence(
            unanswered_request(first_on_connection=True, open_when_sent=True, ended_in_order=True),
            crowd=True,
        ),
    ),
    "a request that was read is dropped on a connection that had been idle for long": (
        "lost",
        lambda: evidence(
            unanswered_request(rested_s=5.0, open_when_sent=True, ended_in_order=True)
        ),
    ),
    "a forwarded request sent late in a drain is unanswered at SIGKILL": (
        "lost",
        lambda: evidence(
            unanswered_request(sent_at=12.0, ended_at=13.2), lives=[PAUSED], attempts=[HANGING]
        ),
    ),
    "an unread request sent late in a drain is on an open connection at SIGKILL": (
        "lost",
        lambda: evidence(unanswered_request(sent_at=12.0, ended_at=13.2), lives=[PAUSED]),
    ),
    "a body was served by no backend": (
        "served_unmade",
        lambda: evidence(served_request(body=b"x"), attempts=[SERVED]),
    ),
    "a second response arrives": (
        "answered_twice",
        lambda: evidence(served_request(extra_bytes=9), attempts=[SERVED]),
    ),
    "a process keeps descriptors": (
        "descriptors",
        lambda: evidence(
            lives=[process_record(descriptors_at_start=9, descriptors_at_rest=25)],
            backend_connections_at_rest=13,
        ),
    ),
    "an invalid body is forwarded": (
        "served_unmade",
        lambda: evidence(served_request(), attempts=[attempt(result=AttemptResult.INVALID)]),
    ),
    "a rejected request may have run": (
        "rejected_after_run",
        lambda: evidence(served_request(Effect.NOT_IDEMPOTENT, status=429), attempts=[HANGING]),
    ),
    "a non-idempotent request runs twice": (
        "run_twice",
        lambda: evidence(served_request(Effect.NOT_IDEMPOTENT), attempts=[SERVED, attempt(10.5)]),
    ),
    "a non-idempotent request has two attempts in flight": (
        "two_out",
        lambda: evidence(
            served_request(Effect.NOT_IDEMPOTENT),
            attempts=[attempt(result=AttemptResult.NOT_STARTED, ended_at=10.9), attempt(10.5)],
        ),
    ),
    "a request has two attempts in flight without hedging": (
        "two_out",
        lambda: evidence(
            served_request(), attempts=[HANGING, attempt(10.5)], site=replace(SITE, hedging=False)
        ),
    ),
    "a backend receives an id that no client has sent": (
        "unknown_id",
        lambda: evidence(attempts=[SERVED]),
    ),
    "a keyed request is repeated after the deduplication window": (
        "window_over",
        lambda: evidence(served_request(Effect.KEYED), attempts=[HANGING, attempt(13.2)]),
    ),
    "an attempt begins after its client has disconnected": (
        "sent_after_leave",
        lambda: evidence(unanswered_request(left_at=10.05), attempts=[attempt(10.5)]),
    ),
    "a forwarded timeout exceeds the time left": (
        "told_too_much",
        lambda: evidence(served_request(), attempts=[attempt(10.4, told_timeout_s=1.9)]),
    ),
    "a draining backend receives an attempt": (
        "sent_to_draining",
        lambda: evidence(
            served_request(),
            attempts=[attempt(10.01)],
            list_changes=[
                ListChange("", "s-1", "leaving", 9.0),
                ListChange("n0", "s-1", "leaving", 9.0),
            ],
        ),
    ),
    "a drain is not heard of from a slow agent": (
        "drain_not_heard_of",
        lambda: evidence(
            served_request(),
            attempts=[attempt(10.01)],
            list_changes=[ListChange("", "s-1", "leaving", 3.0)],
            faults={"list_slow": 1},
        ),
    ),
    "a draining backend receives an attempt while another process waited for a processor": (
        "sent_to_draining",
        lambda: evidence(
            served_request(sent_at=9.9),
            attempts=[attempt(10.0)],
            list_changes=[
                ListChange("", "s-1", "leaving", 9.2),
                ListChange("n0", "s-1", "leaving", 9.2),
            ],
            waits=[ProcessWait(8, 9.8, 9.95, 0.12), ProcessWait(7, 8.0, 8.05, 0.12)],
        ),
    ),
    "a starting backend is overloaded": (
        "slow_start",
        lambda: evidence(
            served_request(),
            attempts=startup_burst(400),
            backend_starts=[BackendStart("s-1", 0, 9.9)],
            list_changes=[ListChange("n0", "s-1", "active", 9.95)],
        ),
    ),
    "notified ingresses and a late one overload a starting backend": (
        "slow_start",
        lambda: burst_from_two_ingresses(notified=75, late=34),
    ),
    "notified ingresses use more than two thirds of the limit at a starting backend": (
        "slow_start_room",
        lambda: burst_from_two_ingresses(notified=73, late=0),
    ),
    "a starting backend is overloaded by a process that was notified after its restart": (
        "slow_start",
        lambda: evidence(
            served_request(),
            attempts=startup_burst(400),
            lives=[process_record(started_at=9.97)],
            backend_starts=[BackendStart("s-1", 0, 9.9)],
            list_changes=[
                ListChange("n0", "s-1", "active", 9.95),
                ListChange("n0", "s-1", "active", 9.98),
            ],
        ),
    ),
    "a bad client gets no response and no close": (
        "bad_client_waits",
        lambda: evidence(bad_clients=[BadClient("n0", "half a head", 10.0)]),
    ),
    "a bad client waits for too long": (
        "bad_client_waits",
        lambda: evidence(bad_clients=[BadClient("n0", "half a head", 10.0, 13.5)]),
    ),
    "a complete response without a length is withheld": (
        "unbounded_kept",
        lambda: evidence(served_request(status=502, body=b""), attempts=[attempt(unbounded=True)]),
    ),
    "a process exits without a signal": (
        "crashed",
        lambda: evidence(lives=[process_record(ended_at=9.0, exit_code=0)]),
    ),
    "a drain ends with an error": (
        "crashed",
        lambda: evidence(
            lives=[process_record(signals=[("SIGTERM", 9.0)], ended_at=10.0, exit_code=1)]
        ),
    ),
    "a process is killed before its drain ends": (
        "killed_in_drain",
        lambda: evidence(lives=[DRAINED]),
    ),
    "a process is never ready": (
        "not_ready",
        lambda: evidence(lives=[process_record(ready_at=None)]),
    ),
    "the program logs a rule violation": (
        "logged_fault",
        lambda: evidence(log="ERROR rule violated: subject=x rule=second_execution"),
    ),
}

ALLOWED: dict[str, Callable[[], Evidence]] = {
    "a request on a connection that was reset had not been read": lambda: evidence(
        unanswered_request(open_when_sent=True, ended_in_order=False)
    ),
    "a request crossed the orderly end of its connection": lambda: evidence(
        unanswered_request(open_when_sent=False, ended_in_order=True)
    ),
    "a drain leaves a request in the socket and ends the sending": lambda: evidence(
        unanswered_request(open_when_sent=True, ended_in_order=True),
        lives=[process_record(signals=[("SIGTERM", 10.5)], ended_at=12.0, exit_code=0)],
    ),
    "a late ingress that overloads a starting backend": lambda: burst_from_two_ingresses(
        notified=72, late=40
    ),
    "an attempt after the drain grace while its process waited for a processor": lambda: evidence(
        served_request(sent_at=9.9),
        attempts=[attempt(10.0)],
        list_changes=[
            ListChange("", "s-1", "leaving", 9.2),
            ListChange("n0", "s-1", "leaving", 9.2),
        ],
        waits=[ProcessWait(7, 9.8, 9.95, 0.12)],
    ),
    "a served request": lambda: evidence(served_request(), log=ACCEPTED, attempts=[SERVED]),
    "a client that disconnected": lambda: evidence(
        unanswered_request(left_at=10.2), attempts=[HANGING]
    ),
    "a process killed without an earlier SIGTERM": lambda: evidence(
        unanswered_request(), lives=[KILLED], attempts=[HANGING], log=ACCEPTED
    ),
    "a request in transit while its idle connection was closed": lambda: evidence(
        unanswered_request()
    ),
    "a new connection closed after an idle time": lambda: evidence(
        unanswered_request(first_on_connection=True, rested_s=2.1)
    ),
    "a new connection closed unread in a crowd": lambda: evidence(
        unanswered_request(first_on_connection=True), crowd=True
    ),
    "an idempotent request that ran twice": lambda: evidence(
        served_request(answered_at=10.6), attempts=[HANGING, attempt(10.2)]
    ),
    "a non-idempotent request repeated after a Not-Started response": lambda: evidence(
        served_request(Effect.NOT_IDEMPOTENT),
        attempts=[attempt(result=AttemptResult.NOT_STARTED), attempt(10.2)],
    ),
    "a keyed request repeated within the deduplication window": lambda: evidence(
        served_request(Effect.KEYED, answered_at=11.5),
        attempts=[HANGING, attempt(11.4, told_timeout_s=0.5)],
    ),
    "an attempt just before the end of the drain grace": lambda: evidence(
        served_request(),
        attempts=[SERVED],
        list_changes=[
            ListChange("", "s-1", "leaving", 9.6),
            ListChange("n0", "s-1", "leaving", 9.6),
        ],
    ),
    "a draining backend of which only the previous process was notified": lambda: evidence(
        served_request(),
        attempts=[SERVED],
        lives=[process_record(started_at=9.5)],
        list_changes=[
            ListChange("", "s-1", "leaving", 9.0),
            ListChange("n0", "s-1", "leaving", 9.0),
        ],
    ),
    "a backend that is listed as ready again": lambda: evidence(
        served_request(),
        attempts=[SERVED],
        list_changes=[
            ListChange("n0", "s-1", "leaving", 9.0),
            ListChange("", "s-1", "active", 10.0),
        ],
    ),
    "a burst at a starting backend from an ingress that was not notified": lambda: evidence(
        served_request(),
        attempts=startup_burst(400),
        backend_starts=[BackendStart("s-1", 0, 9.9)],
        list_changes=[ListChange("n1", "s-1", "active", 9.95)],
    ),
    "a burst from a process of which only the previous one was notified": lambda: evidence(
        served_request(),
        attempts=startup_burst(400),
        lives=[process_record(started_at=9.97)],
        backend_starts=[BackendStart("s-1", 0, 9.9)],
        list_changes=[ListChange("n0", "s-1", "active", 9.95)],
    ),
    "a burst at a warm backend": lambda: evidence(
        served_request(),
        attempts=startup_burst(400),
        backend_starts=[BackendStart("s-1", 0, -10.0)],
    ),
    "an attempt whose end its backend could not observe": lambda: evidence(
        served_request(),
        attempts=[attempt(ended_at=10.9, unobserved=True), attempt(10.5)],
        site=replace(SITE, hedging=False),
    ),
    "a starting backend within its budget": lambda: evidence(
        served_request(), attempts=startup_burst(40), backend_starts=[BackendStart("s-1", 0, 10.0)]
    ),
    "a bad client that received an error": lambda: evidence(
        bad_clients=[BadClient("n0", "half a head", 10.0, 12.1)]
    ),
    "a process paused before SIGKILL": lambda: evidence(lives=[PAUSED]),
}


@pytest.mark.parametrize("case", VIOLATIONS)
def test_violation_is_reported_under_its_rule(case: str) -> None:
    """Guards against an oracle that misses a violation or reports another rule as well."""
    rule, build = VIOLATIONS[case]
    assert {violation.rule for violation in find_violations(build())} == {rule}


@pytest.mark.parametrize("case", ALLOWED)
def test_allowed_case_is_no_violation(case: str) -> None:
    """Guards against violations that are reported for a correct program."""
    assert find_violations(ALLOWED[case]()) == []


def test_largest_ratio_of_value_to_bound_is_recorded_by_rule() -> None:
    """Guards against a report that omits how close a run without violations was to a bound."""
    evidence_of_run = evidence(served_request(), attempts=[attempt(10.01, told_timeout_s=2.0)])
    assert find_violations(evidence_of_run) == []
    assert evidence_of_run.bound_ratios["told_too_much"] == pytest.approx(0.01 / 0.2)
    assert evidence_of_run.bound_ratios["late"] == 0.0  # answered before its deadline


def test_a_logged_traceback_is_told_with_what_failed_and_its_error() -> None:
    # Guards against a violation that can't be traced, as the logs of a run in CI are removed.
    lines = ["12:00 ERROR Exception in callback f()", "Traceback (most recent call last):"]
    frames = [f'  File "x.py", line {number}' for number in range(30)]
    text = "\n".join([*lines, *frames, "AssertionError: why", "12:01 INFO next"])
    (violation,) = check_logs(evidence(log=text))
    assert violation.detail.startswith("12:00 ERROR Exception in callback f() | Traceback")
    assert violation.detail.endswith("line 29 | AssertionError: why")
    assert "line 21" not in violation.detail
