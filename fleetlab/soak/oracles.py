"""All oracles of the soak: each is a function from what was seen to the violations of a rule."""

from __future__ import annotations

from fleetlab.soak.attempt_oracles import (
    backends_are_told_the_time_left,
    draining_backends_get_nothing,
    nothing_is_sent_for_a_client_that_left,
    requests_run_as_their_class_permits,
    starting_backends_are_not_overloaded,
)
from fleetlab.soak.evidence import Evidence, Oracle, Violation
from fleetlab.soak.process_oracles import (
    descriptors_return,
    logs_show_no_fault,
    processes_end_well,
)
from fleetlab.soak.request_oracles import (
    bad_clients_get_an_error_or_a_close,
    complete_unbounded_responses_are_forwarded,
    no_request_is_lost,
    refusals_are_harmless,
    requests_are_answered_once,
    responses_are_those_of_a_backend,
)

ORACLES: tuple[Oracle, ...] = (
    no_request_is_lost,
    responses_are_those_of_a_backend,
    refusals_are_harmless,
    requests_are_answered_once,
    requests_run_as_their_class_permits,
    nothing_is_sent_for_a_client_that_left,
    backends_are_told_the_time_left,
    draining_backends_get_nothing,
    starting_backends_are_not_overloaded,
    bad_clients_get_an_error_or_a_close,
    complete_unbounded_responses_are_forwarded,
    processes_end_well,
    descriptors_return,
    logs_show_no_fault,
)


def judge(evidence: Evidence) -> list[Violation]:
    """Return all violations of a run."""
    return [violation for oracle in ORACLES for violation in oracle(evidence)]
