"""Ceilings hold and use is counted once, whatever the counter does."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from sumacpost.model import Outcome
from sumacpost.policy.gateway import Gateway
from sumacpost.policy.quota_sync import CounterCall, QuotaSync
from tests.support.player import COUNTER_SETTINGS, CounterPlayer, Step
from tests.support.rule_checker import RuleViolationError

STEPS = st.lists(
    st.tuples(
        st.sampled_from(["ask", "ask", "ask", "ask", "reply", "end", "end", "leave", "restart"]),
        st.integers(0, 10**6),
        st.sampled_from([0, 0, 1, 5, 20, 400]),
    ),
    min_size=20,
    max_size=120,
)


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
    CounterPlayer(lambda: Gateway(COUNTER_SETTINGS, 3)).play(steps)


@pytest.mark.parametrize("seed", range(1, 6))
def test_no_ceiling_is_passed_in_spikes_while_the_counter_is_silent(seed: int) -> None:
    CounterPlayer(lambda: Gateway(COUNTER_SETTINGS, seed)).play(spikes(seed))


@pytest.mark.parametrize("seed", range(1, 6))
def test_the_checker_finds_a_ceiling_that_is_checked_on_arrival_only(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The fault of review/9, planted again.
    monkeypatch.setattr(Gateway, "_admit_after_wait", Gateway._admit)
    with pytest.raises(RuleViolationError, match="ceiling exceeded"):
        CounterPlayer(lambda: Gateway(COUNTER_SETTINGS, seed)).play(spikes(seed))


def play_without_restarts(seed: int, steps: list[Step]) -> None:
    """Play steps, and check that no use has been reported twice."""
    gateway = Gateway(COUNTER_SETTINGS, seed)
    player = CounterPlayer(lambda: gateway)
    player.play([step for step in steps if step[0] != "restart"])
    for number, customer in gateway.customers.by_number.items():
        counted = player.units_counted[number] + customer.unreported_units
        assert counted <= player.units_sent(number) + 1e-6


@given(STEPS)
@hypothesis_settings(derandomize=True, max_examples=200, deadline=None)
def test_no_use_is_reported_again_that_may_have_been_added(steps: list[Step]) -> None:
    # Guards against use that is counted twice after a silence of the counter (review/10).
    play_without_restarts(3, steps)


@pytest.mark.parametrize("seed", range(1, 6))
def test_the_check_finds_use_that_is_reported_again_after_a_loss_of_the_connection(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The fault of review/10, planted again.
    apply_failure = QuotaSync._apply_failure

    def report_again(
        sync: QuotaSync, call: CounterCall, outcome: Outcome, is_waiting: bool
    ) -> None:
        lost = outcome is Outcome.RESET
        apply_failure(sync, call, Outcome.REJECTED if lost else outcome, is_waiting)

    monkeypatch.setattr(QuotaSync, "_apply_failure", report_again)
    steps = [("reply", 3, 5) if step[:2] == ("reply", 0) else step for step in spikes(seed)]
    with pytest.raises(AssertionError):
        play_without_restarts(seed, steps)


@pytest.mark.parametrize("seed", range(1, 6))
def test_no_use_is_reported_again_in_spikes_with_lost_connections(seed: int) -> None:
    steps = [("reply", 3, 5) if step[:2] == ("reply", 0) else step for step in spikes(seed)]
    play_without_restarts(seed, steps)
