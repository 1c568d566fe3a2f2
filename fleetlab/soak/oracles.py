"""The list of the soak's oracles: functions from the evidence of a run to rule violations."""

from __future__ import annotations

from fleetlab.soak.attempt_oracles import (
    check_attempts_after_disconnect,
    check_draining_backends,
    check_drains_heard_of,
    check_executions,
    check_forwarded_timeouts,
    check_slow_start,
)
from fleetlab.soak.evidence import Evidence, Oracle, Violation
from fleetlab.soak.process_oracles import (
    check_descriptors,
    check_logs,
    check_process_exits,
)
from fleetlab.soak.request_oracles import (
    check_bad_clients,
    check_extra_responses,
    check_lost_requests,
    check_rejections,
    check_response_bodies,
    check_unbounded_responses,
)

ORACLES: tuple[Oracle, ...] = (
    check_lost_requests,
    check_response_bodies,
    check_rejections,
    check_extra_responses,
    check_executions,
    check_attempts_after_disconnect,
    check_forwarded_timeouts,
    check_draining_backends,
    check_drains_heard_of,
    check_slow_start,
    check_bad_clients,
    check_unbounded_responses,
    check_process_exits,
    check_descriptors,
    check_logs,
)


def find_violations(evidence: Evidence) -> list[Violation]:
    """Return all violations of a run."""
    return [violation for oracle in ORACLES for violation in oracle(evidence)]
