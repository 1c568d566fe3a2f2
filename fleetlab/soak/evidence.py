"""The evidence that the oracles of a run check, and the violations that they report.

The rules of the platform's protocol have 50 ms of slack, and an ingress may be paused for 150 ms;
most time bounds include one or both. An event beyond its bound is excused by at most the time for
which, by the trace of waits, the ingress or the soak itself waited for a processor or a disk at the
end of the measured interval.
"""

from __future__ import annotations

import re
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from fleetlab.soak.records import Attempt, AttemptResult, ProcessRecord, RunRecord
from fleetlab.soak.site import SoakSite

SLACK_S = 0.05  # slack of the rules that the platform's protocol sets for sockets
PAUSE_ALLOWANCE_S = 0.15  # longest permitted pause of an ingress
EXCUSED_WAIT_WINDOW_S = 1.0  # waits this long before the end of an event may have delayed it
MAX_BOUND_RATIO = 100.0  # highest recorded ratio, also recorded for events that never occurred

_ACCEPTED = re.compile(r"request accepted: subject=([0-9a-f]{16}) ")


class Violation(msgspec.Struct, frozen=True):
    """A violation of a rule.

    Attributes:
        rule: the name of the rule.
        subject: the request, process, ingress or backend that the violation concerns.
        detail: the observed values.
    """

    rule: str
    subject: str
    detail: str


@dataclass(frozen=True, slots=True)
class Evidence:
    """The observations of one run that the oracles check.

    Attributes:
        record: what clients, backends, discovery and the process control observed.
        site: the settings of the run.
        logs: the log of each ingress, over all its processes.
        crowd: whether idle clients exhausted the descriptors, so that an ingress may close new
            connections unread.
        soak_pid: the process id of the soak, as used in the record's waits.
        bound_ratios: the largest ratio of observed value to bound, by rule; filled while the
            oracles run.
        excused: the number of events, by rule, that exceeded a bound by no more than their
            processes waited.
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
        """Return whether a value is within its bound, and record the ratio of the two.

        interval: start and end of the measurement. If the value exceeds the bound, the time for
        which the ingress and the soak waited in the last second of the interval is added to the
        bound; earlier waits did not delay the event.
        """
        if value_s > bound_s:
            start, end = interval
            waited_s = self.waited_s(ingress, max(start, end - EXCUSED_WAIT_WINDOW_S), end)
            self.excused[rule] += bound_s < value_s <= bound_s + waited_s
            bound_s += waited_s
        self.record_bound_ratio(rule, value_s / bound_s)
        return value_s <= bound_s

    def record_bound_ratio(self, rule: str, ratio: float) -> None:
        """Keep the largest ratio of observed value to bound for a rule."""
        self.bound_ratios[rule] = max(min(ratio, MAX_BOUND_RATIO), self.bound_ratios.get(rule, 0.0))

    def waited_s(self, ingress: str, start: float, end: float) -> float:
        """Return the sum of an ingress's and the soak's own waits between two times, in seconds."""
        pids = {process.pid for process in self.record.lives if process.ingress == ingress}
        return sum(
            wait.waited_s
            for wait in self.record.waits
            if wait.pid in pids | {self.soak_pid}
            and wait.began_at <= end
            and wait.ended_at >= start
        )

    def had_broken_connections(self, ingress: str, start: float, end: float) -> bool:
        """Return whether connections made by an ingress may have broken between two times."""
        return any(
            broken.ingress == ingress and broken.began_at <= end and start <= broken.ended_at
            for broken in self.record.broken_paths
        )

    def accepted_ids(self) -> set[str]:
        """Return the ids of the requests that the ingresses logged as accepted."""
        return {match for text in self.logs.values() for match in _ACCEPTED.findall(text)}

    def process_at(self, ingress: str, at: float) -> ProcessRecord | None:
        """Return the process of an ingress that ran at the given time, or None."""
        for process in self.record.lives:
            ended_at = process.ended_at if process.ended_at is not None else float("inf")
            if process.ingress == ingress and process.started_at <= at <= ended_at:
                return process
        return None

    def has_drained(self, process: ProcessRecord) -> bool:
        """Return whether a process logged the end of its drain."""
        processes = [
            candidate for candidate in self.record.lives if candidate.ingress == process.ingress
        ]
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
    """Return when a process was first sent SIGTERM or SIGINT, or None."""
    signals = (process.signalled_at("SIGTERM"), process.signalled_at("SIGINT"))
    return min((at for at in signals if at is not None), default=None)


def may_have_run(attempt: Attempt) -> bool:
    """Return whether a received attempt may have run at its backend.

    All may, unless the backend responded that it had not started the request.
    """
    return attempt.result is not AttemptResult.NOT_STARTED
