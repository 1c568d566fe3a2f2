"""What must hold at every size: many gateways together, many backends, rare evidence."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Any

import pytest

from sumacpost.model import Outcome, Plan, Send, Settings, UpdateKind
from sumacpost.policy.backend import Backend
from sumacpost.policy.gateway import Gateway
from sumacpost.policy.load_balancing import LoadBalancer
from sumacpost.policy.slow_start import SlowStart
from tests.support.builders import SAFE, START, UNSAFE, ended, fleet, gateway, request

WORK_MS = 150.0  # what the requests here are first believed to take


def sends(g: Gateway, now: float, number: int, cls: int = 0, left: float = 4000.0) -> list[Send]:
    return [a for a in g.handle(now, request(number, cls, left=left)) if isinstance(a, Send)]


REPORTS = ("backlog", "throughput", "utilization")


def cold_work(
    gateways: int,
    warm: int,
    cold: int,
    seconds: int,
    kind: type[Gateway] = Gateway,
    report: tuple[float, ...] = (),
    units: tuple[float, ...] = (1.0,),
    tries: int = 4,
) -> list[list[float]]:
    """When each cold backend got work (once a unit), all starting at once under a flood through every gateway."""
    got: list[list[float]] = [[] for _ in range(cold)]
    for index in range(gateways):
        base = gateway(
            gateways=gateways,
            index=index,
            classes=(SAFE,),
            initial_capacity=0.2,
            slow_start_ms=1e6,
            max_units=8,
            report_fields=REPORTS,
        ).settings
        g = kind(base, index)
        g.handle(START, fleet(*range(1, warm + 1)))
        g.handle(START, fleet(*range(1000, 1000 + cold), kind=UpdateKind.CHANGES, up=START))
        number = 0
        for step in range(seconds * 2):
            now = START + step * 500
            for _ in range(tries):
                number += 1
                size = units[number % len(units)]
                actions = g.handle(now, request(number, units=size))
                for send in [a for a in actions if isinstance(a, Send)]:
                    cold_one = send.backend >= 1000
                    if cold_one:
                        got[send.backend - 1000] += [now] * int(size)
                    g.handle(
                        now,
                        replace(ended(number, send.backend, took=WORK_MS * size), report=report),
                    )
    return got


@pytest.mark.parametrize(("gateways", "warm", "cold"), [(2, 6, 3), (60, 20, 10), (200, 2, 30)])
def test_all_gateways_together_keep_within_a_cold_backends_budget(
    gateways: int, warm: int, cold: int
) -> None:
    """A part of a 300th of a request is rounded by chance: not everybody sends, and not nobody."""
    got = cold_work(gateways, warm, cold, 9)
    limit = (
        2 * 0.2 * 3000 * 3
    )  # fall multiple x capacity x window, on three cores as the bench's servers have
    for when in got:
        for begin in when:
            assert sum(begin <= t < begin + 3000 for t in when) * WORK_MS < limit
    assert sum(map(len, got)) > 0


@pytest.mark.parametrize("units", [(1.0,), (1.0, 1.0, 1.0, 1.0, 8.0)])
def test_a_cold_budget_of_parts_of_a_request_is_not_overdrawn_by_small_requests(
    units: tuple[float, ...],
) -> None:
    """Found on join+vast: a chance that fits the mean request let small ones through three times too often."""
    got = cold_work(60, 20, 10, 30, units=units)
    budget = 0.8 * 2 * 0.2 * 30_000  # of each in thirty seconds, with no reports
    assert 0.4 * budget < sum(map(len, got)) * WORK_MS / len(got) < 1.3 * budget


def test_cold_backends_get_what_their_reports_show_that_they_can_do() -> None:
    """Without, they idle beside warm ones that drown; with, they are still not pushed over."""
    unknown = cold_work(60, 2, 30, 30)
    told = cold_work(
        60, 2, 30, 30, report=(0.0, 2.0, 0.5)
    )  # four requests a second: a fifth of three cores
    assert sum(map(len, told)) > 1.3 * sum(map(len, unknown))
    limit = 2 * 0.2 * 3000 * 3
    for when in told:
        for begin in when:
            assert sum(begin <= t < begin + 3000 for t in when) * WORK_MS < limit


def test_a_report_moves_what_is_told_little_by_little_and_an_idle_one_not_at_all() -> None:
    g = gateway(1, report_fields=REPORTS)
    for number, report in enumerate([(0.0, 2.0, 0.1), (0.0, 0.0, 0.9), (), (0.0, 9.0, 0.9)]):
        for send in sends(g, START, number):
            g.handle(START, replace(ended(number, send.backend), report=report))
    assert g.endpoints.backends[1].measured_capacity == pytest.approx(2.0)  # a fifth of ten
    assert g.estimate.warm_capacity == pytest.approx(0.5)


class NoSlowStart(SlowStart):
    """A budget without a bound."""

    def admits(self, now: float, backend: Backend, work: float) -> bool:
        return True


class Reckless(Gateway):
    """A gateway that knows no cold backends, to show that the count above can fail."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.load_balancer.slow_start = NoSlowStart(
            settings, Random(seed), self.endpoints, self.estimate
        )


def test_the_count_of_cold_work_sees_a_reckless_fleet() -> None:
    got = cold_work(60, 20, 10, 9, Reckless)
    assert any(sum(t < START + 3000 for t in when) * WORK_MS > 3600 for when in got)


def test_each_backend_is_kept_to_by_as_many_gateways() -> None:
    met = dict.fromkeys(range(1, 71), 0)
    for index in range(300):
        g = gateway(*met, gateways=300, index=index)
        g.handle(START, request(1))
        for backend in g.load_balancer.candidates(g.pending[1]):
            met[backend.endpoint.backend] += 1
    assert min(met.values()) >= 5
    assert max(met.values()) <= 1.5 * min(met.values())


def test_the_traffic_of_one_of_many_gateways_is_enough_to_know_its_backends() -> None:
    """Forty gateways, sixty backends: a few requests a second tell little of eight backends, but enough of five."""
    met = dict.fromkeys(range(60), 0)
    for index in range(40):
        g = gateway(*met, gateways=40, index=index)
        answered = dict.fromkeys(met, 0)
        for n in range(80):  # ten seconds of one gateway's share
            now = START + n * 125
            for send in sends(g, now, n):
                answered[send.backend] += 1
                g.handle(now + 100, ended(n, send.backend))
        kept = [backend for backend, count in answered.items() if count]
        assert len(kept) <= 6
        for backend in kept:
            met[backend] += 1
    assert min(met.values()) >= 3  # and none depends on one or two


def test_the_work_of_an_event_does_not_grow_with_the_fleet(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Counted in backends looked at, not in seconds."""
    looked = {}
    forecast = LoadBalancer.forecast
    seen = 0

    def counted(*args: Any) -> float:
        nonlocal seen
        seen += 1
        return forecast(*args)

    monkeypatch.setattr(LoadBalancer, "forecast", counted)
    for backends in (10, 1000):
        seen = 0
        g = Gateway(gateway(gateways=2).settings, 1)
        g.handle(START, fleet(*range(1, backends + 1)))
        for n in range(100):
            for send in sends(g, START + n * 10, n):
                g.handle(START + n * 10, ended(n, send.backend))
        looked[backends] = seen / 100
    assert looked[10] <= 10
    assert looked[1000] <= 16


def test_a_backend_that_fails_one_class_loses_that_class_only() -> None:
    """Found on hobart-tariffs-later: good answers of one class covered for the failures of another."""
    g = gateway(*range(1, 6), classes=(SAFE, UNSAFE), plans=(Plan(0, 0),))
    got = {0: 0, 1: 0}
    for n in range(1200):
        now, cls = START + n * 50, n % 2
        for send in sends(g, now, n, cls):
            bad = send.backend == 1 and cls == 1
            got[cls] += send.backend == 1 and n > 100
            g.handle(
                now,
                ended(
                    n, send.backend, Outcome.ERROR if bad else Outcome.OK, took=150.0 + 150.0 * cls
                ),
            )
    assert got[1] < 40  # of 550, a fifth of which would be 110
    assert got[0] > 60


def test_backends_that_left_are_forgotten() -> None:
    g = gateway(1)
    for n in range(2, 500):
        g.handle(START, fleet(n, kind=UpdateKind.FULL))
    assert list(g.endpoints.backends) == [499]
    assert (
        sum(len(group) for group in g.endpoints.groups.values()) == 2
        and len(g.endpoints.subset.ready) == 1
    )


def test_a_keyed_repeat_stays_in_its_group_after_its_backend_left_the_list() -> None:
    g = gateway(1, 2, 3, 4)
    (send,) = sends(g, START, 1, cls=1)
    g.handle(START + 1, fleet(*[n for n in (1, 2, 3, 4) if n != send.backend]))
    again = [
        a
        for a in g.handle(START + 50, ended(1, send.backend, Outcome.RESET, took=50))
        if isinstance(a, Send)
    ]
    assert again and again[0].backend % 2 == send.backend % 2  # its cell
