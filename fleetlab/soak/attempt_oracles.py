"""The rules on what backends receive."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable, Sequence
from itertools import accumulate, pairwise
from math import sqrt
from typing import NamedTuple

from fleetlab.soak.evidence import PAUSE_ALLOWANCE_S, SLACK_S, Evidence, Violation, may_have_run
from fleetlab.soak.records import Attempt, BackendStart, Effect
from fleetlab.soak.site import SoakSite

MAX_SEND_AFTER_CLOSE_S = (
    0.1  # from a client's close to the last moment at which an attempt may begin
)
FORWARDED_TIMEOUT_SLACK_S = 0.15  # by which the time told to a backend may exceed the client's
SMALL_WINDOW_REQUESTS = 30  # below which the rule on slow start allows more
NOTIFIED_SHARE = 2 / 3  # of a fall that the rule counts
MEAN_SERVICE_TIME_S = 0.025  # of the soak's backends


def check_executions(evidence: Evidence) -> Iterable[Violation]:
    """What is not idempotent runs once and is out once; a key's repeats stay in its window."""
    requests = {request.request_id: request for request in evidence.record.requests}
    for request_id, attempts in evidence.attempts_by_request().items():
        request = requests.get(request_id)
        if request is None:
            yield Violation("unknown_id", request_id, f"no client has sent it: {attempts}")
        elif request.effect is Effect.NOT_IDEMPOTENT:
            yield from _check_single_execution(request_id, attempts)
        elif request.effect is Effect.KEYED:
            yield from _check_dedup_window(evidence, request.ingress, request_id, attempts)
        if not evidence.site.hedging:
            yield from _check_single_attempt(request_id, attempts)


def _check_single_execution(request_id: str, attempts: Sequence[Attempt]) -> Iterable[Violation]:
    for earlier, later in pairwise(attempts):
        if may_have_run(earlier):
            yield Violation("run_twice", request_id, f"{earlier} and {later}")
    yield from _check_single_attempt(request_id, attempts)


def _check_single_attempt(request_id: str, attempts: Sequence[Attempt]) -> Iterable[Violation]:
    for earlier, later in pairwise(attempts):
        if earlier.unobserved:
            continue
        # the end of an attempt and the next one travel on two connections
        if earlier.ended_at is None or earlier.ended_at > later.received_at + SLACK_S:
            yield Violation("two_out", request_id, f"{earlier} and {later}")


def _check_dedup_window(
    evidence: Evidence, ingress: str, request_id: str, attempts: Sequence[Attempt]
) -> Iterable[Violation]:
    executed = [attempt for attempt in attempts if may_have_run(attempt)]
    if not executed:
        return
    allowed_s = evidence.site.dedup_window_s + SLACK_S
    for attempt in attempts:
        interval = (executed[0].received_at, attempt.received_at)
        after_s = attempt.received_at - executed[0].received_at
        if not evidence.check_bound("window_over", after_s, allowed_s, ingress, interval):
            detail = f"{after_s:.3f} s after the first: {attempts}"
            yield Violation("window_over", request_id, detail)


def check_attempts_after_client_left(evidence: Evidence) -> Iterable[Violation]:
    """No attempt begins more than 0.1 s after the client has closed its connection."""
    allowed_s = MAX_SEND_AFTER_CLOSE_S + SLACK_S + PAUSE_ALLOWANCE_S
    left = {r.request_id: r for r in evidence.record.requests if r.left_at is not None}
    for attempt in evidence.record.attempts:
        request = left.get(attempt.request_id)
        if request is None or request.left_at is None:
            continue
        interval = (request.left_at, attempt.first_byte_at)
        after_s = attempt.first_byte_at - request.left_at
        if not evidence.check_bound(
            "sent_after_leave", after_s, allowed_s, request.ingress, interval
        ):
            yield Violation("sent_after_leave", attempt.request_id, f"{after_s:.3f} s: {attempt}")


def check_forwarded_timeouts(evidence: Evidence) -> Iterable[Violation]:
    """The time that a backend is told is at most what its client has left."""
    allowed_s = FORWARDED_TIMEOUT_SLACK_S + SLACK_S
    requests = {request.request_id: request for request in evidence.record.requests}
    for attempt in evidence.record.attempts:
        request = requests.get(attempt.request_id)
        if request is None or request.sent_at is None:
            continue
        left_s = request.timeout_s - (attempt.first_byte_at - request.sent_at)
        over_s = attempt.told_timeout_s - max(left_s, 0.0)
        interval = (request.sent_at, attempt.first_byte_at)
        if not evidence.check_bound("told_too_much", over_s, allowed_s, request.ingress, interval):
            detail = f"{left_s:.3f} s left: {attempt}"
            yield Violation("told_too_much", attempt.request_id, detail)


def check_draining_backends(evidence: Evidence) -> Iterable[Violation]:
    """Nothing is sent to a backend that drains or is gone, once the grace after that is over."""
    grace_s = evidence.site.drain_grace_s + SLACK_S + PAUSE_ALLOWANCE_S
    ingress_of = {request.request_id: request.ingress for request in evidence.record.requests}
    states_by_recipient: dict[tuple[str, str], list[tuple[float, str]]] = defaultdict(list)
    for change in sorted(evidence.record.list_changes, key=lambda change: change.at):
        states_by_recipient[change.ingress, change.backend].append((change.at, change.state))
    for attempt in evidence.record.attempts:
        ingress = ingress_of.get(attempt.request_id, "")
        process = evidence.process_at(ingress, attempt.first_byte_at)
        # what the process before it was told, this one can't know while its agent can't be reached
        notified_states = (
            []
            if process is None
            else [
                (at, state)
                for at, state in states_by_recipient[ingress, attempt.backend]
                if at >= process.started_at
            ]
        )
        notified_at, notified_state = _last_state(notified_states, attempt.first_byte_at)
        # the list may have it ready again, and the ingress have heard of it in another life
        _, listed = _last_state(states_by_recipient["", attempt.backend], attempt.first_byte_at)
        if "active" in (notified_state, listed):
            continue
        after_s = attempt.first_byte_at - notified_at
        interval = (notified_at, attempt.first_byte_at)
        if not evidence.check_bound("sent_to_draining", after_s, grace_s, ingress, interval):
            detail = f"{after_s:.3f} s after {ingress} was told {notified_state}: {attempt}"
            yield Violation("sent_to_draining", attempt.request_id, detail)


def _last_state(states: Sequence[tuple[float, str]], at: float) -> tuple[float, str]:
    """Return the last state before a time, and since when; active if there has been no change."""
    return next(
        ((since, state) for since, state in reversed(states) if since <= at),
        (0.0, "active"),
    )


def check_slow_start(evidence: Evidence) -> Iterable[Violation]:
    """A starting backend gets no more in any window than the settings allow at its end.

    The rule is broken where over two thirds of that came from ingresses that had been told of the
    start: one whose agent is silent takes the backend for warm. So those that were told may send at
    most two thirds of what is allowed: with more, they would break it as soon as a late one sends
    the rest (slow_start_room).
    """
    for start, windows in _slow_start_windows(evidence):
        if not windows:
            continue
        most_notified = max(windows, key=lambda window: window.notified / window.limit)
        notified_limit = most_notified.limit * NOTIFIED_SHARE
        evidence.record_bound_ratio("slow_start_room", most_notified.notified / notified_limit)
        fullest_window = _fullest_notified_window(windows)
        evidence.record_bound_ratio("slow_start", fullest_window.requests / fullest_window.limit)
        if fullest_window.requests > fullest_window.limit:
            yield Violation("slow_start", start.backend, f"{start}: {fullest_window}")
        elif most_notified.notified > notified_limit:
            yield Violation("slow_start_room", start.backend, f"{start}: {most_notified}")


def _fullest_notified_window(windows: Sequence[_StartWindow]) -> _StartWindow:
    """Return the fullest window of which over two thirds came from ingresses that were told."""
    mostly_notified = [
        window for window in windows if window.notified > window.requests * NOTIFIED_SHARE
    ]
    none = _StartWindow(0, 0, 1.0)
    return max(mostly_notified, key=lambda window: window.requests / window.limit, default=none)


class _StartWindow(NamedTuple):
    """What a backend got in one window after its start."""

    requests: int
    notified: int  # of them from ingresses that had been told of the start
    limit: float


def _slow_start_windows(evidence: Evidence) -> Iterable[tuple[BackendStart, list[_StartWindow]]]:
    """Return the windows that begin with a request to a backend that is warming up."""
    site = evidence.site
    for start in evidence.record.backend_starts:
        received = sorted(_attempts_since_start(evidence, start))
        times = [at for at, _ in received]
        notified_counts = [0, *accumulate(was_notified for _, was_notified in received)]
        windows = []
        for first, window_start in enumerate(times):
            window_end = window_start + site.overload_window_s
            if window_end > start.at + site.slow_start_s:
                break  # it has its full capacity
            last = bisect_right(times, window_end)
            notified = notified_counts[last] - notified_counts[first]
            limit = _window_limit(site, window_end - start.at)
            windows.append(_StartWindow(last - first, notified, limit))
        yield start, windows


def _attempts_since_start(evidence: Evidence, start: BackendStart) -> list[tuple[float, bool]]:
    """Return when a started backend got attempts, and whether their ingresses had been told.

    What the process before it was told, an ingress can't know while its agent can't be reached.
    """
    ingress_of = {request.request_id: request.ingress for request in evidence.record.requests}
    notified_at: dict[str, list[float]] = defaultdict(list)
    for change in evidence.record.list_changes:
        if change.backend == start.backend and change.state == "active" and change.at >= start.at:
            notified_at[change.ingress].append(change.at)
    received = []
    for attempt in evidence.record.attempts:
        if (attempt.backend, attempt.incarnation) != (start.backend, start.incarnation):
            continue
        ingress = ingress_of.get(attempt.request_id, "")
        process = evidence.process_at(ingress, attempt.first_byte_at)
        since = 0.0 if process is None else process.started_at
        was_notified = any(since <= at <= attempt.first_byte_at for at in notified_at[ingress])
        received.append((attempt.received_at, was_notified))
    return received


def _window_limit(site: SoakSite, age_s: float) -> float:
    """Return the most requests of mean work in a window that ends at this age of a backend."""
    capacity = min(
        1.0, site.initial_capacity + (1 - site.initial_capacity) * age_s / site.slow_start_s
    )
    requests = capacity / MEAN_SERVICE_TIME_S * site.overload_factor * site.overload_window_s
    margin = 3 * sqrt(requests) + 3 if requests < SMALL_WINDOW_REQUESTS else 2 * sqrt(requests) + 2
    return requests + margin
