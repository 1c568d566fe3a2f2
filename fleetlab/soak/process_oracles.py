"""The rules on the processes themselves."""

from __future__ import annotations

import re
from collections.abc import Iterable

from fleetlab.soak.evidence import Evidence, Violation, first_warning
from fleetlab.soak.records import Life

SIDE_CONNECTIONS = 2  # of a process: to discovery and the counter, which come and go

_FAULT_LINES = re.compile(
    r"rule violated|event failed|supervised task failed|Traceback|left without a response"
)


def processes_end_well(evidence: Evidence) -> Iterable[Violation]:
    """A process that is told to end has drained before the earliest SIGKILL; none ends else.

    That the interpreter has ended by then is not asked for: nothing is open any more.
    """
    for life in evidence.record.lives:
        warned_at = first_warning(life)
        name = f"{life.ingress} pid {life.pid}"
        if life.ready_at is None:
            yield Violation("not_ready", name, str(life))
        if life.ended_at is None:
            continue
        killed_at = life.signalled_at("SIGKILL")
        if killed_at is not None:
            drained = evidence.has_drained(life) or _held_up_before(life, killed_at)
            if warned_at is not None and not drained:
                yield Violation("killed_in_drain", name, str(life))
        elif warned_at is None or life.exit_code != 0:
            yield Violation("crashed", name, str(life))
        else:
            took_s = life.ended_at - warned_at
            evidence.come_near("killed_in_drain", took_s / evidence.site.kill_after_s)


def descriptors_return(evidence: Evidence) -> Iterable[Violation]:
    """Once all clients have gone, a process has open what it had at its start.

    And its connections to backends, which it may keep for a while: only the sum is known.
    """
    rested = [life for life in evidence.record.lives if life.descriptors_at_rest is not None]
    more = sum((life.descriptors_at_rest or 0) - life.descriptors_at_start for life in rested)
    more -= evidence.record.backend_connections_at_rest
    allowed = SIDE_CONNECTIONS * len(rested)
    if rested:
        evidence.come_near("descriptors", max(0, more) / allowed)
    if more > allowed:
        yield Violation("descriptors", f"{len(rested)} processes", f"{more} more than at the start")


def _held_up_before(life: Life, at: float) -> bool:
    """Return whether a process was stopped for a while just before a time."""
    return any(name == "SIGSTOP" and at - 1.0 < when <= at for name, when in life.signals)


def logs_show_no_fault(evidence: Evidence) -> Iterable[Violation]:
    """No ingress logs a fault of the program, or a rule that it has broken by its own count."""
    for ingress, text in evidence.logs.items():
        for line in text.splitlines():
            if _FAULT_LINES.search(line):
                yield Violation("logged_fault", ingress, line)
