"""Slow start: the load that all gateways together send to cold backends."""

from __future__ import annotations

from collections.abc import Sequence
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

# A cold backend that gets less than this fraction of its capacity is not used enough.
MIN_UTILIZATION = 0.1
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
    peak_load = simulation.peak_window_load()
    peak_load_by_actual_work = simulation.peak_window_load(lambda request: request.actual_work)
    utilizations = [backend.utilization(simulation.end) for backend in simulation.cold]
    print(
        f"{name}, seed {seed}: highest load in a window {peak_load:.2f} of the allowed load "
        f"({peak_load_by_actual_work:.2f} by actual work), "
        f"utilization {min(utilizations):.2f} to {max(utilizations):.2f}, "
        f"served {simulation.requests_served / simulation.requests_sent:.2f} "
        f"of {simulation.requests_sent}"
    )
    assert peak_load <= 1
    assert min(utilizations) >= MIN_UTILIZATION


def test_simulation_overloads_backends_whose_start_is_hidden() -> None:
    """Show that the test above can fail: the endpoint list hides the start of cold backends."""
    scenario = SCENARIOS["200 gateways, 3 of 30 cold"]
    assert FleetSimulation(scenario, 1, hide_start=True).run().peak_window_load() > 1


@pytest.mark.parametrize("name", ["200 gateways, 3 of 30 cold", "20 gateways, 2 of 20 cold"])
def test_simulation_overloads_backends_if_each_gateway_uses_the_whole_budget(
    name: str,
) -> None:
    """Show that the bound is on the sum: each gateway knows of the start, but shares no budget."""
    assert FleetSimulation(SCENARIOS[name], 1, gateways=1, index=0).run().peak_window_load() > 1


def test_cold_backend_gets_less_than_twice_its_guaranteed_part() -> None:
    """Guard against overload by a single gateway with many requests, in any window of 3 s."""
    g = gateway(1, 2, 3)
    for number in range(300):  # the gateway estimates the service time of warm backends
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
    for window_start in to_cold:
        end = window_start + 3000
        if end > sends[-1][0]:
            continue
        cold = sum(window_start <= sent_at < end for sent_at in to_cold)
        mean_warm = sum(window_start <= sent_at < end for sent_at in to_warm) / 3
        # The guaranteed capacity fraction in the middle of the window.
        guaranteed_part = 0.2 + 0.8 * min(1, (window_start + 1500 - cold_start) / 10_000)
        assert cold <= 2 * guaranteed_part * mean_warm + 1


# ---- the budget shared by all gateways


WORK_MS = 150.0  # initial estimate of the work of these requests
REPORT_FIELDS = ("backlog", "throughput", "utilization")
# Overload factor x initial capacity x window, for a backend with three cores.
MAX_WORK_MS = 2 * 0.2 * 3000 * 3
FIRST_COLD = 1000


class ColdStart:
    """Cold backends that all start at the same time, while every gateway gets too many requests."""

    def __init__(
        self,
        gateways: int,
        warm: int,
        cold: int,
        gateway_type: type[Gateway] = Gateway,
    ) -> None:
        self.gateways = gateways
        self.warm = warm
        self.cold = cold
        self.gateway_type = gateway_type
        self.report: tuple[float, ...] = ()
        self.warm_report: tuple[float, ...] = ()
        self.units: tuple[float, ...] = (1.0,)
        # Times at which each cold backend got work, one for each unit.
        self.work_times: list[list[float]] = [[] for _ in range(cold)]

    def run(self, seconds: int) -> ColdStart:
        """Let every gateway send four requests twice a second."""
        for index in range(self.gateways):
            self._run_gateway(index, seconds)
        return self

    def _run_gateway(self, index: int, seconds: int) -> None:
        g = self.gateway_type(
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
                    self.work_times[send.backend - FIRST_COLD] += [now] * int(units)
                end = attempt_ended(number, send.backend, elapsed_ms=WORK_MS * units)
                report = self.report if send.backend >= FIRST_COLD else self.warm_report
                g.handle(now, replace(end, report=report))

    @property
    def total_units(self) -> int:
        """The units of work that all cold backends got."""
        return sum(map(len, self.work_times))

    def most_work_ms(self) -> float:
        """Return the most work, in ms, that any cold backend got within 3 s."""
        return WORK_MS * max(
            sum(window_start <= at < window_start + 3000 for at in times)
            for times in self.work_times
            for window_start in times
        )


@pytest.mark.parametrize(("gateways", "warm", "cold"), [(2, 6, 3), (60, 20, 10), (200, 2, 30)])
def test_all_gateways_together_stay_within_the_budget_of_a_cold_backend(
    gateways: int, warm: int, cold: int
) -> None:
    """Guard against shares below one request being rounded up, or down, at every gateway.

    A share may be a 300th of a request. It is rounded by a draw, so that few gateways send one.
    """
    start = ColdStart(gateways, warm, cold).run(seconds=9)
    assert start.total_units > 0
    assert start.most_work_ms() < MAX_WORK_MS


@pytest.mark.parametrize("units", [(1.0,), (1.0, 1.0, 1.0, 1.0, 8.0)])
def test_budget_below_one_request_is_not_exceeded_by_small_requests(
    units: tuple[float, ...],
) -> None:
    """Guard against an admission probability that ignores the size of requests.

    With one for the mean request, small requests were admitted three times too often.
    """
    start = ColdStart(60, 20, 10)
    start.units = units
    start.run(seconds=30)
    budget_ms = 0.8 * 2 * 0.2 * 30_000  # of each backend in 30 s, without load reports
    mean_work_ms = start.total_units * WORK_MS / 10
    assert 0.4 * budget_ms < mean_work_ms < 1.3 * budget_ms


def test_load_reports_of_warm_backends_raise_the_budget_of_cold_ones() -> None:
    """Guard against idle cold backends beside overloaded warm ones.

    Without load reports the budget assumes one core. With reports of a higher capacity of warm
    backends it is larger, and cold backends are still not overloaded.
    """
    unknown = ColdStart(60, 2, 30).run(seconds=30)
    reported = ColdStart(60, 2, 30)
    reported.report = (0.0, 2.0, 0.5)  # four requests a second: a fifth of three cores
    reported.warm_report = (0.0, 10.0, 0.5)
    reported.run(seconds=30)
    assert reported.total_units > 1.3 * unknown.total_units
    assert reported.most_work_ms() < MAX_WORK_MS


class UnboundedSlowStart(SlowStart):
    """Slow start without a limit on attempts."""

    def admits(self, now: float, backend: Backend, work_ms: float) -> bool:
        return True


class UnboundedGateway(Gateway):
    """A gateway without slow start, which shows that the tests above can fail."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.load_balancer.slow_start = UnboundedSlowStart(settings, self.endpoints, self.estimate)


def test_gateways_without_a_budget_exceed_the_bound() -> None:
    start = ColdStart(60, 20, 10, UnboundedGateway).run(seconds=9)
    in_first_window = [sum(at < START_MS + 3000 for at in times) for times in start.work_times]
    assert max(in_first_window) * WORK_MS > MAX_WORK_MS


def budgeted_per_s(reports: Sequence[tuple[float, ...]]) -> float:
    """Return the capacity per second on which the budget is based after responses with reports."""
    g = gateway(1, report_fields=REPORT_FIELDS)
    for number, report in enumerate(reports):
        (send,) = actions_of_type(g.handle(START_MS, request_arrived(number)), Send)
        g.handle(START_MS, replace(attempt_ended(number, send.backend), report=report))
    return 1000 * g.estimate.capacity.requests_per_ms(START_MS, g.endpoints.backends[1].endpoint, 1)


def test_load_reports_count_once_there_are_enough_and_idle_ones_say_nothing() -> None:
    """Guard against a budget from one report, or from the same report in many responses."""
    capacity_per_s = 100.0
    busy = [(0.0, capacity_per_s * u, u) for u in (0.5, 0.6, 0.7, 0.8, 0.9)]
    idle = (0.0, 0.0, 0.0)
    no_report: tuple[float, ...] = ()
    without = budgeted_per_s([no_report] * 5)
    assert without < capacity_per_s / 4
    assert budgeted_per_s([busy[4], no_report, idle, no_report, no_report]) == without
    assert budgeted_per_s([busy[4]] * 5) == without
    assert 0.5 * capacity_per_s < budgeted_per_s(busy) < 0.9 * capacity_per_s


# ---- the share of one gateway


def sent_to_cold(g: Gateway, numbers: range, now: float) -> int:
    sends = [
        send for n in numbers for send in actions_of_type(g.handle(now, request_arrived(n)), Send)
    ]
    return sum(send.backend >= FIRST_COLD for send in sends)


def before_a_cold_start(up: float) -> Gateway:
    """Return a gateway that has observed the service time of its backend, with a cold one added."""
    g = gateway(1)
    for number in range(1000, 1100):
        now = START_MS + 100 * (number - 1000)
        (send,) = actions_of_type(g.handle(now, request_arrived(number)), Send)
        g.handle(now + 50, attempt_ended(number, send.backend, elapsed_ms=50))
    g.handle(START_MS + 10_000, endpoint_list_update(FIRST_COLD, kind=UpdateKind.CHANGES, up=up))
    return g


def test_a_restarted_gateway_delays_attempts_at_a_backend_it_may_have_used_before() -> None:
    g = gateway(1)
    g.handle(START_MS, endpoint_list_update(FIRST_COLD, kind=UpdateKind.CHANGES, up=START_MS - 500))
    assert sent_to_cold(g, range(20), START_MS + 1000) == 0
    assert sent_to_cold(g, range(20, 40), START_MS + 4000) > 0


def test_a_gateway_uses_a_backend_that_has_started_after_it() -> None:
    g = gateway(1)
    g.handle(
        START_MS + 500, endpoint_list_update(FIRST_COLD, kind=UpdateKind.CHANGES, up=START_MS + 500)
    )
    assert sent_to_cold(g, range(20), START_MS + 1000) > 0


def test_a_share_limits_every_window_not_only_one_per_period() -> None:
    g = before_a_cold_start(START_MS + 10_000)
    slow_start = g.load_balancer.slow_start
    backend = g.endpoints.backends[FIRST_COLD]
    numbers = count()

    def send_until_refused(now: float) -> int:
        """Send requests of mean work until one is not admitted; return the number sent."""
        work_ms = g.estimate.long_term_mean_work_ms
        sent = 0
        while slow_start.admits(now, backend, work_ms):
            slow_start.record_send(now, backend, next(numbers), 0, work_ms)
            sent += 1
        return sent

    filled_at = 15_000.0
    first = send_until_refused(filled_at - 1)
    assert first > 2
    assert send_until_refused(filled_at + 1) <= 1  # the share may have grown by one
    assert send_until_refused(filled_at + 3100) >= first


def test_the_work_of_an_attempt_counts_from_when_it_is_written() -> None:
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
