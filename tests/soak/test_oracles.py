"""Each oracle finds the violation of its rule, and lets pass what the rule allows."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from fleetlab.soak.evidence import Evidence
from fleetlab.soak.oracles import find_violations
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
    "a taken request is never answered": (
        "lost",
        lambda: evidence(unanswered_request(), log=ACCEPTED, attempts=[HANGING]),
    ),
    "a forwarded request is never answered, whatever the log says": (
        "lost",
        lambda: evidence(unanswered_request(), attempts=[HANGING]),
    ),
    "a request is neither answered nor closed": (
        "lost",
        lambda: evidence(unanswered_request(ended_at=None)),
    ),
    "a response is late": (
        "lost",
        lambda: evidence(served_request(answered_at=12.7), attempts=[SERVED]),
    ),
    "a new connection is closed with no response": (
        "lost",
        lambda: evidence(unanswered_request(first_on_connection=True)),
    ),
    "SIGKILL finds a late request": (
        "lost",
        lambda: evidence(
            unanswered_request(sent_at=12.0, ended_at=13.2), lives=[PAUSED], attempts=[HANGING]
        ),
    ),
    "SIGKILL finds an unread request on an open connection": (
        "lost",
        lambda: evidence(unanswered_request(sent_at=12.0, ended_at=13.2), lives=[PAUSED]),
    ),
    "a body is no backend's": (
        "served_unmade",
        lambda: evidence(served_request(body=b"x"), attempts=[SERVED]),
    ),
    "a second response comes": (
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
    "a spoilt body is forwarded": (
        "served_unmade",
        lambda: evidence(served_request(), attempts=[attempt(result=AttemptResult.INVALID)]),
    ),
    "a rejected request may have run": (
        "rejected_after_run",
        lambda: evidence(served_request(Effect.NOT_IDEMPOTENT, status=429), attempts=[HANGING]),
    ),
    "an unsafe request runs twice": (
        "run_twice",
        lambda: evidence(served_request(Effect.NOT_IDEMPOTENT), attempts=[SERVED, attempt(10.5)]),
    ),
    "an unsafe request is out twice": (
        "two_out",
        lambda: evidence(
            served_request(Effect.NOT_IDEMPOTENT),
            attempts=[attempt(result=AttemptResult.NOT_STARTED, ended_at=10.9), attempt(10.5)],
        ),
    ),
    "a request is out twice without hedging": (
        "two_out",
        lambda: evidence(
            served_request(), attempts=[HANGING, attempt(10.5)], site=replace(SITE, hedging=False)
        ),
    ),
    "a backend gets an id that no client has sent": (
        "unknown_id",
        lambda: evidence(attempts=[SERVED]),
    ),
    "a keyed request is repeated after the window": (
        "window_over",
        lambda: evidence(served_request(Effect.KEYED), attempts=[HANGING, attempt(13.2)]),
    ),
    "an attempt begins after its client has left": (
        "sent_after_leave",
        lambda: evidence(unanswered_request(left_at=10.05), attempts=[attempt(10.5)]),
    ),
    "a backend is told too much time": (
        "told_too_much",
        lambda: evidence(served_request(), attempts=[attempt(10.4, told_timeout_s=1.9)]),
    ),
    "a draining backend is sent to": (
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
    "a draining backend is sent to while another process waited for a processor": (
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
    "ingresses that were told and a late one overload a starting backend": (
        "slow_start",
        lambda: burst_from_two_ingresses(notified=75, late=34),
    ),
    "ingresses that were told of a start leave no room for a late one": (
        "slow_start_room",
        lambda: burst_from_two_ingresses(notified=73, late=0),
    ),
    "a starting backend is overloaded by a process that was told anew": (
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
    "a bad client is left waiting": (
        "bad_client_waits",
        lambda: evidence(bad_clients=[BadClient("n0", "half a head", 10.0)]),
    ),
    "a bad client waits for too long": (
        "bad_client_waits",
        lambda: evidence(bad_clients=[BadClient("n0", "half a head", 10.0, 13.5)]),
    ),
    "a complete response without a length is kept back": (
        "unbounded_kept",
        lambda: evidence(served_request(status=502, body=b""), attempts=[attempt(unbounded=True)]),
    ),
    "a process ends by itself": (
        "crashed",
        lambda: evidence(lives=[process_record(ended_at=9.0, exit_code=0)]),
    ),
    "a drain ends with an error": (
        "crashed",
        lambda: evidence(
            lives=[process_record(signals=[("SIGTERM", 9.0)], ended_at=10.0, exit_code=1)]
        ),
    ),
    "a process outlives its drain": ("killed_in_drain", lambda: evidence(lives=[DRAINED])),
    "a process is never ready": (
        "not_ready",
        lambda: evidence(lives=[process_record(ready_at=None)]),
    ),
    "the program counts a violation": (
        "logged_fault",
        lambda: evidence(log="ERROR rule violated: subject=x rule=second_execution"),
    ),
}

ALLOWED: dict[str, Callable[[], Evidence]] = {
    "a late ingress that overloads a starting backend": lambda: burst_from_two_ingresses(
        notified=72, late=40
    ),
    "a drain's late send while its process waited for a processor": lambda: evidence(
        served_request(sent_at=9.9),
        attempts=[attempt(10.0)],
        list_changes=[
            ListChange("", "s-1", "leaving", 9.2),
            ListChange("n0", "s-1", "leaving", 9.2),
        ],
        waits=[ProcessWait(7, 9.8, 9.95, 0.12)],
    ),
    "a served request": lambda: evidence(served_request(), log=ACCEPTED, attempts=[SERVED]),
    "a client that left": lambda: evidence(unanswered_request(left_at=10.2), attempts=[HANGING]),
    "a process killed without a warning": lambda: evidence(
        unanswered_request(), lives=[KILLED], attempts=[HANGING], log=ACCEPTED
    ),
    "a request that crossed the close of a resting connection": lambda: evidence(
        unanswered_request()
    ),
    "a new connection closed after a rest": lambda: evidence(
        unanswered_request(first_on_connection=True, rested_s=2.1)
    ),
    "a new connection closed unread in a crowd": lambda: evidence(
        unanswered_request(first_on_connection=True), crowd=True
    ),
    "an idempotent request that ran twice": lambda: evidence(
        served_request(answered_at=10.6), attempts=[HANGING, attempt(10.2)]
    ),
    "an unsafe request sent again after a refusal": lambda: evidence(
        served_request(Effect.NOT_IDEMPOTENT),
        attempts=[attempt(result=AttemptResult.NOT_STARTED), attempt(10.2)],
    ),
    "a keyed request repeated in its window": lambda: evidence(
        served_request(Effect.KEYED, answered_at=11.5),
        attempts=[HANGING, attempt(11.4, told_timeout_s=0.5)],
    ),
    "an attempt just before the end of a drain's grace": lambda: evidence(
        served_request(),
        attempts=[SERVED],
        list_changes=[
            ListChange("", "s-1", "leaving", 9.6),
            ListChange("n0", "s-1", "leaving", 9.6),
        ],
    ),
    "a draining backend of which only the process before was told": lambda: evidence(
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
    "a burst at a starting backend from an ingress that was not told": lambda: evidence(
        served_request(),
        attempts=startup_burst(400),
        backend_starts=[BackendStart("s-1", 0, 9.9)],
        list_changes=[ListChange("n1", "s-1", "active", 9.95)],
    ),
    "a burst from a process of which only the one before was told": lambda: evidence(
        served_request(),
        attempts=startup_burst(400),
        lives=[process_record(started_at=9.97)],
        backend_starts=[BackendStart("s-1", 0, 9.9)],
        list_changes=[ListChange("n0", "s-1", "active", 9.95)],
    ),
    "a burst at a backend that is warm": lambda: evidence(
        served_request(),
        attempts=startup_burst(400),
        backend_starts=[BackendStart("s-1", 0, -10.0)],
    ),
    "an attempt whose end its backend could not see": lambda: evidence(
        served_request(),
        attempts=[attempt(ended_at=10.9, unobserved=True), attempt(10.5)],
        site=replace(SITE, hedging=False),
    ),
    "a starting backend within its budget": lambda: evidence(
        served_request(), attempts=startup_burst(40), backend_starts=[BackendStart("s-1", 0, 10.0)]
    ),
    "a bad client that got its error": lambda: evidence(
        bad_clients=[BadClient("n0", "half a head", 10.0, 12.1)]
    ),
    "a process held up as it was to end": lambda: evidence(lives=[PAUSED]),
}


@pytest.mark.parametrize("case", VIOLATIONS)
def test_a_violation_is_found(case: str) -> None:
    rule, build = VIOLATIONS[case]
    assert {violation.rule for violation in find_violations(build())} == {rule}


@pytest.mark.parametrize("case", ALLOWED)
def test_what_a_rule_allows_is_no_violation(case: str) -> None:
    assert find_violations(ALLOWED[case]()) == []


def test_a_report_says_how_near_each_rule_was_come() -> None:
    evidence_of_run = evidence(served_request(), attempts=[attempt(10.01, told_timeout_s=2.0)])
    assert find_violations(evidence_of_run) == []
    assert evidence_of_run.bound_ratios["told_too_much"] == pytest.approx(0.01 / 0.2)
    assert evidence_of_run.bound_ratios["late"] == 0.0  # answered before its time
