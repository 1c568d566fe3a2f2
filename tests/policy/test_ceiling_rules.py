"""No customer passes its ceiling while requests wait for the counter, whatever the counter does."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from sumacpost.model import Action, Actions, AddToCounter, CounterReplied, Event, Outcome, Plan
from sumacpost.policy.gateway import Gateway
from tests.policy.test_rules import Player, Step
from tests.support.builders import request_arrived, settings
from tests.support.rule_checker import Handler, RuleViolationError

COUNTER_TIMEOUT_MS = 50.0
FILL_MS = 5000  # time in which the ceiling of a new customer fills up
SETTINGS = settings(
    plans=(Plan(20, 30, ceiling_rate=26, ceiling_burst=39),),
    counter=True,
    counter_timeout_ms=COUNTER_TIMEOUT_MS,
)
OUTCOMES = (Outcome.OK, Outcome.OK, Outcome.TIMEOUT, Outcome.RESET, Outcome.REJECTED)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["ask", "ask", "ask", "ask", "reply", "end", "end", "leave", "restart"]),
        st.integers(0, 10**6),
        st.sampled_from([0, 0, 1, 5, 20, 400]),
    ),
    min_size=20,
    max_size=120,
)


@dataclass(frozen=True, slots=True)
class Call:
    """A call to the counter without a reply."""

    added: AddToCounter
    sent_at: float


class CounterPlayer(Player):
    """Plays steps to a gateway with a counter, which answers some calls and not the others."""

    def __init__(self, restart: Callable[[], Handler]) -> None:
        self.calls: deque[Call] = deque()
        self.totals: defaultdict[int, float] = defaultdict(float)
        super().__init__(self.observe_calls(restart()), SETTINGS, self.restarted_by(restart))

    def restarted_by(self, restart: Callable[[], Handler]) -> Callable[[], Handler]:
        def restart_without_calls() -> Handler:
            self.calls.clear()
            return self.observe_calls(restart())

        return restart_without_calls

    def observe_calls(self, handle: Handler) -> Handler:
        def observe(now: float, event: Event) -> list[Action]:
            actions: Actions = list(handle(now, event))
            self.calls += [Call(a, now) for a in actions if isinstance(a, AddToCounter)]
            return actions

        return observe

    def play(self, steps: list[Step]) -> None:
        self.now += FILL_MS
        for kind, pick, pause_ms in steps:
            self.now += pause_ms
            self.time_out()
            if kind == "reply":
                self.reply(OUTCOMES[pick % len(OUTCOMES)])
            else:
                super().play_one(kind, pick)
        self.now += COUNTER_TIMEOUT_MS
        super().play([])

    def send_request(self, pick: int) -> None:
        self.request_count += 1
        units = 1 + pick % 4
        event = request_arrived(self.request_count, pick % 4, pick % 2, units=units)
        self.start_attempts(self.checker.feed(self.now, event))

    def reply(self, outcome: Outcome) -> None:
        if not self.calls:
            return
        call = self.calls.popleft()
        if outcome is not Outcome.REJECTED:
            self.totals[call.added.name] += call.added.amount  # as it may have been added
        total = self.totals[call.added.name]
        event = CounterReplied(call.added.name, outcome, self.now - call.sent_at, total)
        self.start_attempts(self.checker.feed(self.now, event))

    def time_out(self) -> None:
        """End the counter calls and the attempts whose time is up."""
        now = self.now
        while self.calls and self.calls[0].sent_at + COUNTER_TIMEOUT_MS <= now:
            self.now = self.calls[0].sent_at + COUNTER_TIMEOUT_MS
            self.reply(Outcome.TIMEOUT)
        self.now = now
        super().time_out()


def spikes(seed: int) -> list[Step]:
    """Return spikes of requests while the counter is silent, each after a calm time."""
    random = Random(seed)
    steps: list[Step] = []
    for _ in range(4):
        for _ in range(10):
            steps.append(("ask", random.randrange(10**6), random.randrange(300, 600)))
            steps += [("reply", 0, 5), ("end", 0, 5)]
        for _ in range(60):
            steps += [("ask", random.randrange(10**6), random.randrange(3)), ("end", 0, 0)]
    return steps


@given(STEPS)
@hypothesis_settings(derandomize=True, max_examples=200, deadline=None)
def test_no_ceiling_is_passed_while_requests_wait_for_the_counter(steps: list[Step]) -> None:
    # Guards against units that are checked when a request arrives and taken when it is sent.
    CounterPlayer(lambda: Gateway(SETTINGS, 3).handle).play(steps)


@pytest.mark.parametrize("seed", range(1, 6))
def test_no_ceiling_is_passed_in_spikes_while_the_counter_is_silent(seed: int) -> None:
    CounterPlayer(lambda: Gateway(SETTINGS, seed).handle).play(spikes(seed))


@pytest.mark.parametrize("seed", range(1, 6))
def test_the_checker_finds_a_ceiling_that_is_checked_on_arrival_only(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The fault of review/9, planted again.
    monkeypatch.setattr(Gateway, "_admit_after_wait", Gateway._admit)
    with pytest.raises(RuleViolationError, match="ceiling exceeded"):
        CounterPlayer(lambda: Gateway(SETTINGS, seed).handle).play(spikes(seed))
