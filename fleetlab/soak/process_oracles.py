"""Oracles for the ingress processes: their exits, descriptors and logs."""

from __future__ import annotations

import re
from collections.abc import Iterable

from fleetlab.soak.evidence import Evidence, Violation, first_termination_signal_at
from fleetlab.soak.records import ProcessRecord

# Connections of a process to discovery and the counter, which are not always open.
AUXILIARY_CONNECTIONS = 2

MAX_TRACEBACK_LINES = 8  # of the innermost frames in the detail of a violation

_FAULT_PATTERN = re.compile(
    r"rule violated|event failed|supervised task failed|Traceback|left without a response"
)


def check_process_exits(evidence: Evidence) -> Iterable[Violation]:
    """Check that each process becomes ready, exits only on a signal and completes its drain.

    After SIGTERM or SIGINT it has to exit with code 0. If SIGKILL ends it first, it must have
    logged the end of its drain, unless it was paused in the second before SIGKILL. The interpreter
    may still be running at SIGKILL, since the drain ends only when all client connections have
    ended or its time has elapsed.
    """
    for process in evidence.record.lives:
        terminated_at = first_termination_signal_at(process)
        name = f"{process.ingress} pid {process.pid}"
        if process.ready_at is None:
            yield Violation("not_ready", name, str(process))
        if process.ended_at is None:
            continue
        killed_at = process.signalled_at("SIGKILL")
        if killed_at is not None:
            drained = evidence.has_drained(process) or _paused_before(process, killed_at)
            if terminated_at is not None and not drained:
                yield Violation("killed_in_drain", name, str(process))
        elif terminated_at is None or process.exit_code != 0:
            yield Violation("crashed", name, str(process))
        else:
            drain_s = process.ended_at - terminated_at
            evidence.record_bound_ratio("killed_in_drain", drain_s / evidence.site.kill_after_s)


def check_descriptors(evidence: Evidence) -> Iterable[Violation]:
    """Check that no descriptors leak.

    No more may be open after all clients disconnected than at the start, except for connections to
    backends, which may stay open for some time. Only the sum of these over all processes is known,
    so the check is on the sum of descriptors.
    """
    counted = [
        process for process in evidence.record.lives if process.descriptors_at_rest is not None
    ]
    excess = sum(
        (process.descriptors_at_rest or 0) - process.descriptors_at_start for process in counted
    )
    excess -= evidence.record.backend_connections_at_rest
    allowed = AUXILIARY_CONNECTIONS * len(counted)
    if counted:
        evidence.record_bound_ratio("descriptors", max(0, excess) / allowed)
    if excess > allowed:
        yield Violation(
            "descriptors", f"{len(counted)} processes", f"{excess} more open than at the start"
        )


def _paused_before(process: ProcessRecord, at: float) -> bool:
    """Return whether a process was sent SIGSTOP in the second up to the given time."""
    return any(name == "SIGSTOP" and at - 1.0 < when <= at for name, when in process.signals)


def check_logs(evidence: Evidence) -> Iterable[Violation]:
    """Check that no ingress logs an internal error or a rule violation that it detected itself.

    The detail of a violation is the line, and for a traceback the line before it and the error.
    """
    for ingress, text in evidence.logs.items():
        lines = text.splitlines()
        for number, line in enumerate(lines):
            if _FAULT_PATTERN.search(line):
                detail = _describe_traceback(lines, number) if "Traceback" in line else line
                yield Violation("logged_fault", ingress, detail)


def _describe_traceback(lines: list[str], start: int) -> str:
    """Return what a traceback says, on one line: what failed, its innermost frames, the error."""
    end = start + 1
    while end < len(lines) and lines[end].startswith(" "):
        end += 1
    first = max(start + 1, end - MAX_TRACEBACK_LINES)
    parts = [*lines[max(0, start - 1) : start + 1], *lines[first : end + 1]]
    return " | ".join(part.strip() for part in parts)
