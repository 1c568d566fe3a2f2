"""Builders of evidence for the oracles: a request, its attempts and the process that served it."""

from __future__ import annotations

from typing import Any

from fleetlab.soak.evidence import Evidence
from fleetlab.soak.records import (
    Attempt,
    AttemptResult,
    BackendStart,
    ClientRequest,
    Effect,
    ListChange,
    ProcessRecord,
    RunRecord,
)
from fleetlab.soak.site import SoakClass, SoakSite

SITE = SoakSite((SoakClass("search", Effect.IDEMPOTENT, 2.0),), drain_grace_s=0.5)
ID = "00000000000000a1"
ACCEPTED = f"INFO request accepted: subject={ID} reason=serving number=1"


def served_request(effect: Effect = Effect.IDEMPOTENT, **changes: Any) -> ClientRequest:
    """Return a request that was sent at 10 s and answered at 10.1 s."""
    defaults: dict[str, Any] = {
        "first_on_connection": False,
        "sent_at": 10.0,
        "answered_at": 10.1,
        "status": 200,
        "body": b"made",
    }
    return ClientRequest(ID, "n0", effect, 2.0, began_at=10.0, **(defaults | changes))


def unanswered_request(effect: Effect = Effect.IDEMPOTENT, **changes: Any) -> ClientRequest:
    """Return a request whose connection ended at 11 s without a response."""
    defaults = {"answered_at": None, "status": 0, "body": b"", "ended_at": 11.0}
    return served_request(effect, **(defaults | changes))


def attempt(at: float = 10.01, backend: str = "s-1", **changes: Any) -> Attempt:
    """Return an attempt that was served 50 ms after it arrived."""
    defaults: dict[str, Any] = {
        "result": AttemptResult.SERVED,
        "ended_at": at + 0.05,
        "body": b"made",
    }
    told_timeout_s = changes.pop("told_timeout_s", 0.0)
    return Attempt(ID, backend, 0, "", told_timeout_s, at, at, **(defaults | changes))


def process_record(**changes: Any) -> ProcessRecord:
    """Return the record of a process that was ready at 1 s."""
    return ProcessRecord("n0", 7, **({"started_at": 0.5, "ready_at": 1.0} | changes))


def evidence(*requests: ClientRequest, **changes: Any) -> Evidence:
    """Return evidence with these requests; other parts of the record are given by name."""
    logs = {"n0": changes.pop("log", "")}
    site = changes.pop("site", SITE)
    crowd = changes.pop("crowd", False)
    record = RunRecord(list(requests), **({"lives": [process_record()]} | changes))
    return Evidence(record, site, logs, crowd=crowd)


DRAINED = process_record(
    signals=[("SIGTERM", 10.5), ("SIGKILL", 13.2)], ended_at=13.2, exit_code=-9
)
KILLED = process_record(signals=[("SIGKILL", 11.0)], ended_at=11.0, exit_code=-9)
PAUSED = process_record(
    signals=[("SIGTERM", 10.5), ("SIGSTOP", 13.1), ("SIGKILL", 13.2)], ended_at=13.2, exit_code=-9
)
SERVED = attempt()
HANGING = attempt(result=AttemptResult.DISCONNECTED, ended_at=11.0)


def startup_burst(count: int) -> list[Attempt]:
    """Return a number of attempts at a backend, 1 ms apart, within one window after its start."""
    return [attempt(10.0 + number / 1000) for number in range(count)]


def burst_from_two_ingresses(notified: int, late: int) -> Evidence:
    """Return a burst at a starting backend from a notified ingress and from one not yet notified.

    The rule allows 108.4 requests in the window; two thirds of that are 72.3.
    """
    attempts = startup_burst(notified + late)
    requests = []
    for number, new_attempt in enumerate(attempts):
        new_attempt.request_id = f"{number:016x}"
        ingress = "n0" if number < notified else "n1"
        requests.append(
            ClientRequest(new_attempt.request_id, ingress, Effect.IDEMPOTENT, 2.0, False, 10.0)
        )
    return evidence(
        *requests,
        attempts=attempts,
        backend_starts=[BackendStart("s-1", 0, 9.9)],
        list_changes=[ListChange("n0", "s-1", "active", 9.95)],
    )
