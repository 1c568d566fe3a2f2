"""Start times of backends on machines whose clock differs from the clock of the fleet.

With clocks that were an hour or five seconds wrong when the ingresses started, starting backends
received up to six times the load that they can serve (soak, seeds 5001 to 5004), because a backend
that had just started appeared to be an hour old.
"""

from __future__ import annotations

import pytest

from sumacpost.discovery.start_times import StartTimeConverter
from sumacpost.model import Endpoint, EndpointListUpdate, EndpointStatus, UpdateKind

FLEET_NOW_MS = 1_800_000_000_000.0
HOUR_MS = 3_600_000.0
LONG_AGO = 0.0


class Machine:
    """A machine whose clock is ahead of the fleet's by `ahead_ms`, with a converter."""

    def __init__(self, ahead_ms: float) -> None:
        self.ahead_ms = ahead_ms
        self.fleet_now_ms = FLEET_NOW_MS
        self.converter = StartTimeConverter(lambda: self.fleet_now_ms + self.ahead_ms)

    def ages_ms(self, *boots: float, kind: UpdateKind, live: bool = True) -> list[float]:
        """Return the apparent ages of backends that a list names with these start times."""
        entries = [Endpoint(number, up_since_ms=boot) for number, boot in enumerate(boots)]
        self.converter.convert(EndpointListUpdate(kind, entries), live)
        now = self.fleet_now_ms + self.ahead_ms
        return [now - entry.up_since_ms for entry in entries]

    def reported_age_ms(self, boot: float) -> float:
        """Return the apparent age of a backend that discovery reports in a list of changes."""
        return self.ages_ms(boot, kind=UpdateKind.CHANGES)[0]


@pytest.mark.parametrize("ahead_ms", [-HOUR_MS, -5000.0, 0.0, 5000.0, HOUR_MS])
def test_backend_reported_at_its_start_appears_new_on_any_clock(ahead_ms: float) -> None:
    machine = Machine(ahead_ms)
    assert machine.reported_age_ms(FLEET_NOW_MS - 200) == pytest.approx(0, abs=200)
    machine.fleet_now_ms += 10_000
    assert machine.reported_age_ms(FLEET_NOW_MS + 9_500) == pytest.approx(0, abs=500)


@pytest.mark.parametrize("ahead_ms", [5000.0, HOUR_MS])
def test_starts_reported_together_and_late_keep_their_order(ahead_ms: float) -> None:
    machine = Machine(ahead_ms)
    boots = (FLEET_NOW_MS - 7000, FLEET_NOW_MS - 100, FLEET_NOW_MS - 3000)
    ages = machine.ages_ms(*boots, kind=UpdateKind.CHANGES)
    assert ages == pytest.approx([6900, 0, 2900])


def test_correct_clock_keeps_the_starts_of_the_first_list() -> None:
    machine = Machine(0.0)
    boots = (FLEET_NOW_MS - 7000, FLEET_NOW_MS - 2 * HOUR_MS)
    ages = machine.ages_ms(*boots, kind=UpdateKind.CACHED, live=False)
    assert ages == pytest.approx([7000, 2 * HOUR_MS])


def test_few_starts_in_the_first_list_reveal_a_wrong_clock() -> None:
    machine = Machine(HOUR_MS)
    boots = (LONG_AGO, FLEET_NOW_MS - 1000, LONG_AGO, LONG_AGO, FLEET_NOW_MS - 9000)
    ages = machine.ages_ms(*boots, kind=UpdateKind.CACHED, live=False)
    assert [ages[1], ages[4]] == pytest.approx([0, 8000])


def test_no_start_is_in_the_future_on_a_slow_clock() -> None:
    machine = Machine(-HOUR_MS)
    ages = machine.ages_ms(FLEET_NOW_MS - 7000, kind=UpdateKind.CACHED, live=False)
    assert ages == [0.0]


def test_start_is_converted_once() -> None:
    machine = Machine(HOUR_MS)
    first = machine.ages_ms(FLEET_NOW_MS - 300, kind=UpdateKind.CHANGES)
    machine.fleet_now_ms += 4000
    again = machine.ages_ms(FLEET_NOW_MS - 300, kind=UpdateKind.FULL)
    assert again == [first[0] + 4000]


def test_new_incarnation_is_converted_again_and_long_ago_is_kept() -> None:
    machine = Machine(HOUR_MS)
    machine.reported_age_ms(FLEET_NOW_MS - 300)
    machine.fleet_now_ms += 60_000
    assert machine.reported_age_ms(FLEET_NOW_MS + 59_900) == pytest.approx(0, abs=300)
    entry = Endpoint(9, up_since_ms=LONG_AGO)
    machine.converter.convert(EndpointListUpdate(UpdateKind.CHANGES, [entry]), live=True)
    assert entry.up_since_ms == LONG_AGO


def test_later_incarnation_starts_later_after_a_change_of_the_estimated_offset() -> None:
    machine = Machine(0.0)
    late, other = Endpoint(1, up_since_ms=FLEET_NOW_MS - 10_000), Endpoint(2)
    machine.converter.convert(EndpointListUpdate(UpdateKind.CHANGES, [late]), live=True)
    machine.fleet_now_ms += 1000
    other.up_since_ms = FLEET_NOW_MS + 900
    machine.converter.convert(EndpointListUpdate(UpdateKind.CHANGES, [other]), live=True)
    again = Endpoint(1, up_since_ms=FLEET_NOW_MS - 2000)
    machine.converter.convert(EndpointListUpdate(UpdateKind.CHANGES, [again]), live=True)
    assert again.up_since_ms > late.up_since_ms


def test_removed_backends_are_forgotten() -> None:
    machine = Machine(HOUR_MS)
    machine.reported_age_ms(FLEET_NOW_MS - 300)
    gone = Endpoint(0, EndpointStatus.GONE, up_since_ms=FLEET_NOW_MS - 300)
    machine.converter.convert(EndpointListUpdate(UpdateKind.CHANGES, [gone]), live=True)
    machine.reported_age_ms(FLEET_NOW_MS)
    machine.converter.convert(EndpointListUpdate(UpdateKind.FULL, []), live=True)
    assert not machine.converter._converted
