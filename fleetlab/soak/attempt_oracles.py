"""Oracles for the attempts that backends receive."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable, Sequence
from itertools import accumulate, pairwise
from math import sqrt
from typing import NamedTuple

from fleetlab.soak.evidence import PAUSE_ALLOWANCE_S, SLACK_S, Evidence, Violation, may_have_run
from fleetlab.soak.records import Attempt, BackendStart, Effect
from fleetlab.soak.schedule import FaultKind
from fleetlab.soak.site import SoakSite

# Latest start of an attempt, measured from the time at which its client disconnected.
MAX_SEND_AFTER_DISCONNECT_S = 0.1
# Permitted excess of a forwarded Request-Timeout over the time that the client has left.
FORWARDED_TIMEOUT_SLACK_S = 0.15
# A change has to be known this long after discovery had it and could be reached, however slow its
# responses are.
CHANGE_KNOWN_S = 6.0
# The slow-start rule allows a larger margin in windows with fewer expected requests than this.
SMALL_WINDOW_REQUESTS = 30
# The slow-start rule applies where a larger share of the requests came from notified ingresses.
NOTIFIED_SHARE = 2 / 3


def check_executions(evidence: Evidence) -> Iterable[Violation]:
    """Check how often and when each request is executed, by the effect of its class.

    A request that is not idempotent runs at most once and never has two attempts in flight. A
    request with an idempotency key is repeated within the deduplication window only. Without
    hedging no request has two attempts in flight. Each request id was sent by a client.
    """
    requests = {request.request_id: request for request in evidence.record.requests}
    for request_id, attempts in evidence.attempts_by_request().items():
        request = requests.get(request_id)
        if request is None:
            yield Violation("unknown_id", request_id, f"not sent by any client: {attempts}")
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
        # The end of one attempt and the start of the next are observed on different connections, so
        # that their order is known only to within SLACK_S.
        if earlier.ended_at is None or earlier.ended_at > later.received_at + SLACK_S:
            yield Violation("two_out", request_id, f"{earlier} and {later}")


def _check_dedup_window(
    evidence: Evidence, ingress: str, request_id: str, attempts: Sequence[Attempt]
) -> Iterable[Violation]:
    attempts_that_may_have_run = [attempt for attempt in attempts if may_have_run(attempt)]
    if not attempts_that_may_have_run:
        return
    allowed_s = evidence.site.dedup_window_s + SLACK_S
    for attempt in attempts:
        interval = (attempts_that_may_have_run[0].received_at, attempt.received_at)
        after_s = attempt.received_at - attempts_that_may_have_run[0].received_at
        if not evidence.check_bound("window_over", after_s, allowed_s, ingress, interval):
            detail = f"{after_s:.3f} s after the first attempt that may have run: {attempts}"
            yield Violation("window_over", request_id, detail)


def check_attempts_after_disconnect(evidence: Evidence) -> Iterable[Violation]:
    """Check that no attempt starts more than 0.1 s after its client disconnected.

    The general timing slack and the permitted pause of an ingress are added to that bound.
    """
    allowed_s = MAX_SEND_AFTER_DISCONNECT_S + SLACK_S + PAUSE_ALLOWANCE_S
    disconnected = {r.request_id: r for r in evidence.record.requests if r.left_at is not None}
    for attempt in evidence.record.attempts:
        request = disconnected.get(attempt.request_id)
        if request is None or request.left_at is None:
            continue
        interval = (request.left_at, attempt.first_byte_at)
        after_s = attempt.first_byte_at - request.left_at
        if not evidence.check_bound(
            "sent_after_leave", after_s, allowed_s, request.ingress, interval
        ):
            yield Violation(
                "sent_after_leave",
                attempt.request_id,
                f"started {after_s:.3f} s after the client disconnected: {attempt}",
            )


def check_forwarded_timeouts(evidence: Evidence) -> Iterable[Violation]:
    """Check that a forwarded Request-Timeout is at most the time that the client has left."""
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
            detail = f"client had {left_s:.3f} s left: {attempt}"
            yield Violation("told_too_much", attempt.request_id, detail)


def check_draining_backends(evidence: Evidence) -> Iterable[Violation]:
    """Check that draining or removed backends receive nothing once the drain grace has elapsed.

    The grace starts when the sending ingress is notified of the state.
    """
    grace_s = evidence.site.drain_grace_s + SLACK_S + PAUSE_ALLOWANCE_S
    ingress_of = {request.request_id: request.ingress for request in evidence.record.requests}
    states_by_recipient: dict[tuple[str, str], list[tuple[float, str]]] = defaultdict(list)
    for change in sorted(evidence.record.list_changes, key=lambda change: change.at):
        states_by_recipient[change.ingress, change.backend].append((change.at, change.state))
    for attempt in evidence.record.attempts:
        ingress = ingress_of.get(attempt.request_id, "")
        process = evidence.process_at(ingress, attempt.first_byte_at)
        # A process does not know what its predecessor was notified of while its own agent is
        # unreachable, so only notifications since the start of this process count.
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
        # The backend may be listed as ready again while the process has not been notified of that.
        _, listed = _last_state(states_by_recipient["", attempt.backend], attempt.first_byte_at)
        if "active" in (notified_state, listed):
            continue
        after_s = attempt.first_byte_at - notified_at
        interval = (notified_at, attempt.first_byte_at)
        if not evidence.check_bound("sent_to_draining", after_s, grace_s, ingress, interval):
            detail = f"{after_s:.3f} s after {ingress} was notified of {notified_state}: {attempt}"
            yield Violation("sent_to_draining", attempt.request_id, detail)


def check_drains_heard_of(evidence: Evidence) -> Iterable[Violation]:
    """Check that a drain is known in time where discovery is slow, but can always be reached.

    The grace starts CHANGE_KNOWN_S after the change of the list, whether or not a response has told
    of it. Only runs with slow agents are checked, which have no other faults of the agents.
    """
    if FaultKind.LIST_SLOW.value not in evidence.record.faults:
        return
    allowed_s = CHANGE_KNOWN_S + evidence.site.drain_grace_s + SLACK_S + PAUSE_ALLOWANCE_S
    ingress_of = {request.request_id: request.ingress for request in evidence.record.requests}
    states_by_backend: dict[str, list[tuple[float, str]]] = defaultdict(list)
    for change in sorted(evidence.record.list_changes, key=lambda change: change.at):
        if not change.ingress:
            states_by_backend[change.backend].append((change.at, change.state))
    for attempt in evidence.record.attempts:
        changes = states_by_backend[attempt.backend]
        changed_at, state = _last_state(changes, attempt.first_byte_at)
        if state == "active":
            continue
        after_s = attempt.first_byte_at - changed_at
        interval = (changed_at, attempt.first_byte_at)
        ingress = ingress_of.get(attempt.request_id, "")
        if not evidence.check_bound("drain_not_heard_of", after_s, allowed_s, ingress, interval):
            detail = f"{after_s:.3f} s after the list had {state}: {attempt}"
            yield Violation("drain_not_heard_of", attempt.request_id, detail)


def _last_state(states: Sequence[tuple[float, str]], at: float) -> tuple[float, str]:
    """Return time and value of the last state change up to the given time; active without one."""
    return next(
        ((since, state) for since, state in reversed(states) if since <= at),
        (0.0, "active"),
    )


def check_slow_start(evidence: Evidence) -> Iterable[Violation]:
    """Check that no starting backend receives more in a window than its capacity allows.

    The limit is computed for the end of the window. Exceeding it violates slow_start where over two
    thirds of the requests came from ingresses that had been notified of the start: an ingress whose
    agent is silent treats the backend as warm. Notified ingresses may therefore send at most two
    thirds of the limit; with more, they would violate slow_start as soon as an ingress that was
    notified late sends the rest. That share is checked as slow_start_room.
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
    """Return the fullest window with over two thirds of its requests from notified ingresses.

    Without such a window, return an empty one.
    """
    mostly_notified = [
        window for window in windows if window.notified > window.requests * NOTIFIED_SHARE
    ]
    none = _StartWindow(0, 0, 1.0)
    return max(mostly_notified, key=lambda window: window.requests / window.limit, default=none)


class _StartWindow(NamedTuple):
    """The requests that a backend received in one window after its start.

    Attributes:
        requests: all requests in the window.
        notified: those of them from ingresses that had been notified of the start.
        limit: the most requests that the slow-start rule allows in the window.
    """

    requests: int
    notified: int
    limit: float


def _slow_start_windows(evidence: Evidence) -> Iterable[tuple[BackendStart, list[_StartWindow]]]:
    """Yield each backend start with its windows; one begins at each request during slow start."""
    site = evidence.site
    for start in evidence.record.backend_starts:
        received = sorted(_attempts_since_start(evidence, start))
        times = [at for at, _ in received]
        notified_counts = [0, *accumulate(was_notified for _, was_notified in received)]
        windows = []
        for first, window_start in enumerate(times):
            window_end = window_start + site.overload_window_s
            if window_end > start.at + site.slow_start_s:
                break  # the backend is at full capacity before the window ends
            last = bisect_right(times, window_end)
            notified = notified_counts[last] - notified_counts[first]
            limit = _window_limit(site, start, window_end)
            windows.append(_StartWindow(last - first, notified, limit))
        yield start, windows


def _attempts_since_start(evidence: Evidence, start: BackendStart) -> list[tuple[float, bool]]:
    """Return when a started backend received each attempt, and whether its sender was notified.

    Only notifications since the start of the sending process count: a process does not know what
    its predecessor was notified of while its own agent is unreachable.
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


def _window_limit(site: SoakSite, start: BackendStart, window_end: float) -> float:
    """Return the most requests that a started backend may get in a window that ends at this time.

    The limit is the number of requests of mean service time that overloads the backend, plus a
    statistical margin of two standard deviations plus 2, or of three plus 3 for small windows.
    """
    age_s = window_end - start.at
    capacity = min(
        1.0, site.initial_capacity + (1 - site.initial_capacity) * age_s / site.slow_start_s
    )
    requests = capacity * start.requests_per_s * site.overload_factor * site.overload_window_s
    margin = 3 * sqrt(requests) + 3 if requests < SMALL_WINDOW_REQUESTS else 2 * sqrt(requests) + 2
    return requests + margin
