"""Cold backends under the sum of what all gateways send."""

from __future__ import annotations

from dataclasses import replace
from itertools import count

import pytest

from sumacpost.model import Send, Settings, UpdateKind
from sumacpost.policy.backend import Backend
from sumacpost.policy.gateway import Gateway
from sumacpost.policy.slow_start import SlowStart
from tests.support.builders import (
    IDEMPOTENT_CLASS,
    START_MS,
    actions_of_type,
    attempt_ended,
    endpoint_list_update,
    gateway,
    only_action,
    request_arrived,
)
from tests.support.fleet_simulation import FleetSimulation
from tests.support.simulated_backend import Scenario

MIN_USE = 0.1  # of the work that a cold backend can do: below it is left out rather than spared
SEEDS = (1, 2)

SCENARIOS = {
    "20 gateways, 1 of 12 cold": Scenario(20, 12, 1, 0.9),
    "30 gateways, 1 of 24 cold": Scenario(30, 24, 1, 0.95),
    "200 gateways, 1 of 30 cold": Scenario(200, 30, 1, 0.9),
    "20 gateways, 2 of 20 cold": Scenario(20, 20, 2, 0.95),
    "30 gateways, 3 of 30 cold": Scenario(30, 30, 3, 0.9),
    "200 gateways, 3 of 30 cold": Scenario(200, 30, 3, 0.95),
    "30 gateways, 3 of 30 cold, steep": Scenario(30, 30, 3, 0.9, slow_start_ms=5000.0),
}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", SCENARIOS)
def test_cold_backends_are_used_and_not_overloaded_by_all_gateways_together(
    name: str, seed: int
) -> None:
    simulation = FleetSimulation(SCENARIOS[name], seed).run()
    fullest = simulation.peak_window_load()
    fullest_by_work = simulation.peak_window_load(lambda request: request.actual_work)
    use = [server.utilization(simulation.end) for server in simulation.cold]
    print(
        f"{name}, seed {seed}: fullest window {fullest:.2f} of what is allowed "
        f"({fullest_by_work:.2f} by actual work), use {min(use):.2f} to {max(use):.2f}, "
        f"served {simulation.requests_served / simulation.requests_sent:.2f} "
        f"of {simulation.requests_sent}"
    )
    assert fullest <= 1
    assert min(use) >= MIN_USE


def test_simulation_overloads_backends_whose_start_is_hidden() -> None:
    """The bound can be broken: the same simulation, with entries that say 'up since long ago'."""
    scenario = SCENARIOS["200 gateways, 3 of 30 cold"]
    assert FleetSimulation(scenario, 1, hide_start=True).run().peak_window_load() > 1


@pytest.mark.parametrize("name", ["200 gateways, 3 of 30 cold", "20 gateways, 2 of 20 cold"])
def test_simulation_overloads_backends_of_gateways_that_each_believe_to_be_the_only_one(
    name: str,
) -> None:
    """The bound is one on the sum: each gateway knows the start, and uses the whole budget."""
    assert FleetSimulation(SCENARIOS[name], 1, gateways=1, index=0).run().peak_window_load() > 1


def test_cold_backend_gets_its_part_in_any_window() -> None:
    """Under a flood it takes less than twice its guaranteed part in any 3 s."""
    g = gateway(1, 2, 3)
    for number in range(300):  # in which the gateway learns what the fleet can do
        now = START_MS + number * 20
        send = only_action(Send, g.handle(now, request_arrived(number)))
        g.handle(now + 15, attempt_ended(number, send.backend, elapsed_ms=150))
    cold_start = START_MS + 6000
    g.handle(cold_start, endpoint_list_update(4, kind=UpdateKind.CHANGES, up=cold_start))
    sends: list[tuple[float, int]] = []
    for number in range(1000, 2500):
        now = cold_start + (number - 1000) * 4
        for send in actions_of_type(g.handle(now, request_arrived(number)), Send):
            sends.append((now, send.backend))
            g.handle(now + 1, attempt_ended(number, send.backend, elapsed_ms=150))
    to_cold = [sent_at for sent_at, backend in sends if backend == 4]
    to_warm = [sent_at for sent_at, backend in sends if backend != 4]
    assert to_cold
    for begin in to_cold:
        end = begin + 3000
        if end > sends[-1][0]:
            continue
        cold = sum(begin <= sent_at < end for sent_at in to_cold)
        mean_warm = sum(begin <= sent_at < end for sent_at in to_warm) / 3
        # The guaranteed part in the middle of the window.
        part = 0.2 + 0.8 * min(1, (begin + 1500 - cold_start) / 10_000)
        assert cold <= 2 * part * mean_warm + 1


# ---- the budget shared among gateways


WORK_MS = 150.0  # what the requests here are first believed to take
REPORT_FIELDS = ("backlog", "throughput", "utilization")
# The overload factor x the capacity x the window, on the three cores of the simulator's backends.
MAX_WORK_MS = 2 * 0.2 * 3000 * 3
FIRST_COLD = 1000


class ColdStart:
    """Cold backends that all start at once, under a flood through every gateway."""

    def __init__(
        self,
        gateways: int,
        warm: int,
        cold: int,
        kind: type[Gateway] = Gateway,
    ) -> None:
        self.gateways = gateways
        self.warm = warm
        self.cold = cold
        self.kind = kind
        self.report: tuple[float, ...] = ()
        self.warm_report: tuple[float, ...] = ()
        self.units: tuple[float, ...] = (1.0,)
        # When each cold backend got work, once for each unit.
        self.work_at: list[list[float]] = [[] for _ in range(cold)]

    def run(self, seconds: int) -> ColdStart:
        """Let every gateway send four requests twice a second."""
        for index in range(self.gateways):
            self._run_gateway(index, seconds)
        return self

    def _run_gateway(self, index: int, seconds: int) -> None:
        g = self.kind(
            gateway(
                gateways=self.gateways,
                index=index,
                classes=(IDEMPOTENT_CLASS,),
                initial_capacity=0.2,
                slow_start_ms=1e6,
                max_units=8,
                report_fields=REPORT_FIELDS,
            ).settings,
            index,
        )
        cold = range(FIRST_COLD, FIRST_COLD + self.cold)
        g.handle(START_MS, endpoint_list_update(*range(1, self.warm + 1)))
        g.handle(START_MS, endpoint_list_update(*cold, kind=UpdateKind.CHANGES, up=START_MS))
        for number in range(1, seconds * 2 * 4 + 1):
            now = START_MS + (number - 1) // 4 * 500
            units = self.units[number % len(self.units)]
            for send in actions_of_type(g.handle(now, request_arrived(number, units=units)), Send):
                if send.backend >= FIRST_COLD:
                    self.work_at[send.backend - FIRST_COLD] += [now] * int(units)
                end = attempt_ended(number, send.backend, elapsed_ms=WORK_MS * units)
                report = self.report if send.backend >= FIRST_COLD else self.warm_report
                g.handle(now, replace(end, report=report))

    @property
    def total_units(self) -> int:
        """How much work all cold backends got."""
        return sum(map(len, self.work_at))

    def most_work_ms(self) -> float:
        """Return the most work that any cold backend got within 3 s."""
        return WORK_MS * max(
            sum(begin <= at < begin + 3000 for at in times)
            for times in self.work_at
            for begin in times
        )


@pytest.mark.parametrize(("gateways", "warm", "cold"), [(2, 6, 3), (60, 20, 10), (200, 2, 30)])
def test_all_gateways_together_keep_within_the_budget_of_a_cold_backend(
    gateways: int, warm: int, cold: int
) -> None:
    """A 300th of a request is rounded by chance: not every gateway sends, and not none."""
    start = ColdStart(gateways, warm, cold).run(seconds=9)
    assert start.total_units > 0
    assert start.most_work_ms() < MAX_WORK_MS


@pytest.mark.parametrize("units", [(1.0,), (1.0, 1.0, 1.0, 1.0, 8.0)])
def test_budget_below_one_request_is_not_overdrawn_by_small_requests(
    units: tuple[float, ...],
) -> None:
    """On join+vast a chance for the mean request admitted small ones three times too often."""
    start = ColdStart(60, 20, 10)
    start.units = units
    start.run(seconds=30)
    budget_ms = 0.8 * 2 * 0.2 * 30_000  # of each backend in thirty seconds, with no load reports
    mean_work_ms = start.total_units * WORK_MS / 10
    assert 0.4 * budget_ms < mean_work_ms < 1.3 * budget_ms


def test_cold_backends_get_what_their_load_reports_show_that_they_can_do() -> None:
    """Without, they idle beside overloaded warm ones; with, they are still not overloaded."""
    unknown = ColdStart(60, 2, 30).run(seconds=30)
    reported = ColdStart(60, 2, 30)
    reported.report = (0.0, 2.0, 0.5)  # four requests a second: a fifth of three cores
    reported.warm_report = (0.0, 10.0, 0.5)
    reported.run(seconds=30)
    assert reported.total_units > 1.3 * unknown.total_units
    assert reported.most_work_ms() < MAX_WORK_MS


class UnboundedSlowStart(SlowStart):
    """A budget without a bound."""

    def admits(self, now: float, backend: Backend, work_ms: float) -> bool:
        return True


class UnboundedGateway(Gateway):
    """A gateway that knows no cold backends, to show that the bound above can be broken."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.load_balancer.slow_start = UnboundedSlowStart(settings, self.endpoints, self.estimate)


def test_gateways_without_a_budget_break_the_bound() -> None:
    start = ColdStart(60, 20, 10, UnboundedGateway).run(seconds=9)
    in_first_window = [sum(at < START_MS + 3000 for at in times) for times in start.work_at]
    assert max(in_first_window) * WORK_MS > MAX_WORK_MS


def test_load_report_changes_an_estimate_gradually_and_an_idle_one_not_at_all() -> None:
    g = gateway(1, report_fields=REPORT_FIELDS)
    for number, report in enumerate([(0.0, 2.0, 0.1), (0.0, 0.0, 0.9), (), (0.0, 9.0, 0.9)]):
        for send in actions_of_type(g.handle(START_MS, request_arrived(number)), Send):
            g.handle(START_MS, replace(attempt_ended(number, send.backend), report=report))
    assert g.estimate.warm_capacity_per_s == pytest.approx(0.5)  # a twentieth of ten


# ---- the window of one gateway


def sent_to_cold(g: Gateway, numbers: range, now: float) -> int:
    sends = [
        send for n in numbers for send in actions_of_type(g.handle(now, request_arrived(n)), Send)
    ]
    return sum(send.backend >= FIRST_COLD for send in sends)


def before_a_cold_start(up: float) -> Gateway:
    """Return a gateway that knows its backends, one of them cold, with a window of 3 s."""
    g = gateway(1)
    for number in range(1000, 1100):
        now = START_MS + 100 * (number - 1000)
        (send,) = actions_of_type(g.handle(now, request_arrived(number)), Send)
        g.handle(now + 50, attempt_ended(number, send.backend, elapsed_ms=50))
    g.handle(START_MS + 10_000, endpoint_list_update(FIRST_COLD, kind=UpdateKind.CHANGES, up=up))
    return g


def test_a_gateway_spares_a_backend_that_an_earlier_life_may_have_sent_to() -> None:
    g = gateway(1)
    g.handle(START_MS, endpoint_list_update(FIRST_COLD, kind=UpdateKind.CHANGES, up=START_MS - 500))
    assert sent_to_cold(g, range(20), START_MS + 1000) == 0
    assert sent_to_cold(g, range(20, 40), START_MS + 4000) > 0


def test_a_gateway_uses_a_backend_that_has_started_in_its_life() -> None:
    g = gateway(1)
    g.handle(
        START_MS + 500, endpoint_list_update(FIRST_COLD, kind=UpdateKind.CHANGES, up=START_MS + 500)
    )
    assert sent_to_cold(g, range(20), START_MS + 1000) > 0


def test_a_share_is_for_any_window_not_for_one_that_begins_anew() -> None:
    g = before_a_cold_start(START_MS + 10_000)
    slow_start = g.load_balancer.slow_start
    backend = g.endpoints.backends[FIRST_COLD]
    numbers = count()

    def use_up(now: float) -> int:
        """Send requests of mean work until no more are admitted; return how many."""
        work_ms = g.estimate.long_term_mean_work_ms
        sent = 0
        while slow_start.admits(now, backend, work_ms):
            slow_start.record_send(now, backend, next(numbers), 0, work_ms)
            sent += 1
        return sent

    end_of_period = 15_000.0
    first = use_up(end_of_period - 1)
    assert first > 2
    assert use_up(end_of_period + 1) <= 1  # the share may have grown by one
    assert use_up(end_of_period + 3100) >= first


def test_an_attempt_counts_from_when_it_is_written() -> None:
    g = before_a_cold_start(START_MS + 10_000)
    now = START_MS + 11_000
    sends = [
        send
        for n in range(200)
        for send in actions_of_type(g.handle(now, request_arrived(n)), Send)
    ]
    to_cold = [send for send in sends if send.backend == FIRST_COLD]
    for send in to_cold:
        assert g.write_denial_reason(now + 1500, send.request, 0) is None
    backend = g.endpoints.backends[FIRST_COLD]
    assert backend.recent_work.total(now + 1400) > 0
    assert backend.recent_work.total(now + 1600) == 0
