"""Starts of backends where this machine's clock is not the fleet's.

With clocks that were an hour or five seconds off at the start of the ingresses, starting backends
got up to six times what they bear (soak, seeds 5001 to 5004): a backend that had just started
seemed an hour old.
"""

from __future__ import annotations

import pytest

from sumacpost.discovery.start_times import StartTimeConverter
from sumacpost.model import Endpoint, EndpointListUpdate, EndpointStatus, UpdateKind

FLEET_NOW_MS = 1_800_000_000_000.0
HOUR_MS = 3_600_000.0
LONG_AGO = 0.0


class Machine:
    """A machine whose clock is ahead of the fleet's, and what it makes of lists."""

    def __init__(self, ahead_ms: float) -> None:
        self.ahead_ms = ahead_ms
        self.fleet_now_ms = FLEET_NOW_MS
        self.converter = StartTimeConverter(lambda: self.fleet_now_ms + self.ahead_ms)

    def ages_ms(self, *boots: float, kind: UpdateKind, live: bool = True) -> list[float]:
        """Return how old backends with these starts seem when a list names them."""
        entries = [Endpoint(number, up_since_ms=boot) for number, boot in enumerate(boots)]
        self.converter.convert(EndpointListUpdate(kind, entries), live)
        now = self.fleet_now_ms + self.ahead_ms
        return [now - entry.up_since_ms for entry in entries]

    def told_ms(self, boot: float) -> float:
        """Return how old a backend seems that discovery tells of as it starts."""
        return self.ages_ms(boot, kind=UpdateKind.CHANGES)[0]


@pytest.mark.parametrize("ahead_ms", [-HOUR_MS, -5000.0, 0.0, 5000.0, HOUR_MS])
def test_a_start_that_is_told_at_once_is_new_whatever_the_clock_says(ahead_ms: float) -> None:
    machine = Machine(ahead_ms)
    assert machine.told_ms(FLEET_NOW_MS - 200) == pytest.approx(0, abs=200)
    machine.fleet_now_ms += 10_000
    assert machine.told_ms(FLEET_NOW_MS + 9_500) == pytest.approx(0, abs=500)


@pytest.mark.parametrize("ahead_ms", [5000.0, HOUR_MS])
def test_starts_that_are_told_together_late_keep_their_order(ahead_ms: float) -> None:
    machine = Machine(ahead_ms)
    boots = (FLEET_NOW_MS - 7000, FLEET_NOW_MS - 100, FLEET_NOW_MS - 3000)
    ages = machine.ages_ms(*boots, kind=UpdateKind.CHANGES)
    assert ages == pytest.approx([6900, 0, 2900])


def test_with_a_right_clock_the_starts_of_the_first_list_stand() -> None:
    machine = Machine(0.0)
    boots = (FLEET_NOW_MS - 7000, FLEET_NOW_MS - 2 * HOUR_MS)
    ages = machine.ages_ms(*boots, kind=UpdateKind.CACHED, live=False)
    assert ages == pytest.approx([7000, 2 * HOUR_MS])


def test_few_starts_in_the_first_list_may_be_new_whatever_the_clock_says() -> None:
    machine = Machine(HOUR_MS)
    boots = (LONG_AGO, FLEET_NOW_MS - 1000, LONG_AGO, LONG_AGO, FLEET_NOW_MS - 9000)
    ages = machine.ages_ms(*boots, kind=UpdateKind.CACHED, live=False)
    assert [ages[1], ages[4]] == pytest.approx([0, 8000])


def test_with_a_clock_behind_no_start_lies_in_the_future() -> None:
    machine = Machine(-HOUR_MS)
    ages = machine.ages_ms(FLEET_NOW_MS - 7000, kind=UpdateKind.CACHED, live=False)
    assert ages == [0.0]


def test_a_start_is_placed_once() -> None:
    machine = Machine(HOUR_MS)
    first = machine.ages_ms(FLEET_NOW_MS - 300, kind=UpdateKind.CHANGES)
    machine.fleet_now_ms += 4000
    again = machine.ages_ms(FLEET_NOW_MS - 300, kind=UpdateKind.FULL)
    assert again == [first[0] + 4000]


def test_a_new_incarnation_is_placed_anew_and_long_ago_stays_so() -> None:
    machine = Machine(HOUR_MS)
    machine.told_ms(FLEET_NOW_MS - 300)
    machine.fleet_now_ms += 60_000
    assert machine.told_ms(FLEET_NOW_MS + 59_900) == pytest.approx(0, abs=300)
    entry = Endpoint(9, up_since_ms=LONG_AGO)
    machine.converter.convert(EndpointListUpdate(UpdateKind.CHANGES, [entry]), live=True)
    assert entry.up_since_ms == LONG_AGO


def test_a_later_start_of_a_backend_is_placed_later_though_the_clock_is_thought_better() -> None:
    machine = Machine(0.0)
    late, other = Endpoint(1, up_since_ms=FLEET_NOW_MS - 10_000), Endpoint(2)
    machine.converter.convert(EndpointListUpdate(UpdateKind.CHANGES, [late]), live=True)
    machine.fleet_now_ms += 1000
    other.up_since_ms = FLEET_NOW_MS + 900
    machine.converter.convert(EndpointListUpdate(UpdateKind.CHANGES, [other]), live=True)
    again = Endpoint(1, up_since_ms=FLEET_NOW_MS - 2000)
    machine.converter.convert(EndpointListUpdate(UpdateKind.CHANGES, [again]), live=True)
    assert again.up_since_ms > late.up_since_ms


def test_what_has_gone_is_forgotten() -> None:
    machine = Machine(HOUR_MS)
    machine.told_ms(FLEET_NOW_MS - 300)
    gone = Endpoint(0, EndpointStatus.GONE, up_since_ms=FLEET_NOW_MS - 300)
    machine.converter.convert(EndpointListUpdate(UpdateKind.CHANGES, [gone]), live=True)
    machine.told_ms(FLEET_NOW_MS)
    machine.converter.convert(EndpointListUpdate(UpdateKind.FULL, []), live=True)
    assert not machine.converter._converted
