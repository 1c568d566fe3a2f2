"""What the oracles of a run judge, and what they find.

The protocol's rules have 50 ms of slack of their own, and an ingress may be held up for 150 ms. All
times are judged by that. An event beyond its bound is excused by no more than the time for which,
by the trace, the very process or the soak itself waited for a processor meanwhile.
"""

from __future__ import annotations

import re
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from fleetlab.soak.records import Attempt, AttemptResult, ProcessRecord, RunRecord
from fleetlab.soak.site import SoakSite

SLACK_S = 0.05  # of the rules on sockets
PAUSE_ALLOWANCE_S = 0.15  # for which an ingress may be held up
EXCUSED_WAIT_WINDOW_S = 1.0  # before the end of an event: waits in it may have held the event up
MAX_BOUND_RATIO = 100.0  # of a bound: also for what never came

_ACCEPTED = re.compile(r"request accepted: subject=([0-9a-f]{16}) ")


class Violation(msgspec.Struct, frozen=True):
    """A rule that was broken.

    Attributes:
        rule: the name of the oracle.
        subject: the request, process or backend that it is about.
        detail: what was seen.
    """

    rule: str
    subject: str
    detail: str


@dataclass(frozen=True, slots=True)
class Evidence:
    """What the oracles judge.

    Attributes:
        record: what was seen.
        site: the settings of the run.
        logs: the log of each ingress, over all its lives.
        crowd: whether idle clients filled the descriptors: new connections may be closed unread.
        soak_pid: the process id of the soak, in the record's waits.
        bound_ratios: how near each rule was come, as a part of its bound; filled by `check_bound`.
        excused: how many events were beyond a bound by less than a process waited meanwhile.
    """

    record: RunRecord
    site: SoakSite
    logs: dict[str, str]
    crowd: bool = False
    soak_pid: int = 0
    bound_ratios: dict[str, float] = field(default_factory=dict)
    excused: Counter[str] = field(default_factory=Counter)

    def check_bound(
        self, rule: str, value_s: float, bound_s: float, ingress: str, interval: tuple[float, float]
    ) -> bool:
        """Return whether an event keeps its bound, and remember how near it came.

        moment: begin and end of what was measured; what the processes waited then is allowed, but
        in the last second alone: what they did before that was not held up by it.
        """
        if value_s > bound_s:
            start, end = interval
            waited_s = self.waited_s(ingress, max(start, end - EXCUSED_WAIT_WINDOW_S), end)
            self.excused[rule] += bound_s < value_s <= bound_s + waited_s
            bound_s += waited_s
        self.record_bound_ratio(rule, value_s / bound_s)
        return value_s <= bound_s

    def record_bound_ratio(self, rule: str, ratio: float) -> None:
        """Remember that a rule was come so near, as a part of its bound."""
        self.bound_ratios[rule] = max(min(ratio, MAX_BOUND_RATIO), self.bound_ratios.get(rule, 0.0))

    def waited_s(self, ingress: str, start: float, end: float) -> float:
        """Return for how long an ingress and the soak itself waited between two times."""
        pids = {process.pid for process in self.record.lives if process.ingress == ingress}
        return sum(
            wait.waited_s
            for wait in self.record.waits
            if wait.pid in pids | {self.soak_pid}
            and wait.began_at <= end
            and wait.ended_at >= start
        )

    def had_broken_connections(self, ingress: str, start: float, end: float) -> bool:
        """Return whether connections that an ingress had made broke between two times."""
        return any(
            broken.ingress == ingress and broken.began_at <= end and start <= broken.ended_at
            for broken in self.record.broken_paths
        )

    def accepted_ids(self) -> set[str]:
        """Return the ids of the requests that the ingresses have read and taken."""
        return {match for text in self.logs.values() for match in _ACCEPTED.findall(text)}

    def process_at(self, ingress: str, at: float) -> ProcessRecord | None:
        """Return the process that an ingress had at a time."""
        for process in self.record.lives:
            ended_at = process.ended_at if process.ended_at is not None else float("inf")
            if process.ingress == ingress and process.started_at <= at <= ended_at:
                return process
        return None

    def has_drained(self, process: ProcessRecord) -> bool:
        """Return whether a process has logged the end of its drain."""
        processes = [known for known in self.record.lives if known.ingress == process.ingress]
        logs = self.logs.get(process.ingress, "").split("serving: name=")[1:]
        index = processes.index(process)
        return index < len(logs) and "drain finished" in logs[index]

    def attempts_by_request(self) -> dict[str, list[Attempt]]:
        """Return the attempts of each request, in the order in which they were received."""
        grouped: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in self.record.attempts:
            grouped[attempt.request_id].append(attempt)
        return grouped


Oracle = Callable[[Evidence], Iterable[Violation]]


def first_termination_signal_at(process: ProcessRecord) -> float | None:
    """Return when a process was first told to end."""
    signals = (process.signalled_at("SIGTERM"), process.signalled_at("SIGINT"))
    return min((at for at in signals if at is not None), default=None)


def may_have_run(attempt: Attempt) -> bool:
    """Return whether an attempt that a backend has received may have run there."""
    return attempt.result is not AttemptResult.NOT_STARTED
