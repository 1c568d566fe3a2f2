"""Properties at every fleet size: many gateways, many backends, few observations of each."""

from __future__ import annotations

from collections import Counter

import pytest

from sumacpost.model import Outcome, Plan, Send, UpdateKind
from sumacpost.policy.backend import Backend
from sumacpost.policy.gateway import Gateway
from sumacpost.policy.load_balancing import LoadBalancer
from sumacpost.policy.pending_request import PendingRequest
from tests.support.builders import (
    IDEMPOTENT_CLASS,
    NOT_IDEMPOTENT_CLASS,
    START_MS,
    actions_of_type,
    attempt_ended,
    endpoint_list_update,
    gateway,
    request_arrived,
)


def test_backends_are_candidates_of_similar_numbers_of_gateways() -> None:
    candidacies = dict.fromkeys(range(1, 71), 0)
    for index in range(300):
        g = gateway(*candidacies, gateways=300, index=index)
        g.handle(START_MS, request_arrived(1))
        for backend in g.load_balancer.candidates(g.pending[1]):
            candidacies[backend.endpoint.backend] += 1
    assert min(candidacies.values()) >= 5
    assert max(candidacies.values()) <= 1.5 * min(candidacies.values())


def test_a_gateway_with_little_traffic_uses_few_backends() -> None:
    """Guard against subsets that are too large for the traffic of one gateway.

    A few requests per second give too few observations of eight backends, but enough of five.
    """
    gateways_of = dict.fromkeys(range(60), 0)
    for index in range(40):
        g = gateway(*gateways_of, gateways=40, index=index)
        used = set()
        for number in range(80):  # 10 s of one gateway's traffic
            now = START_MS + number * 125
            for send in actions_of_type(g.handle(now, request_arrived(number)), Send):
                used.add(send.backend)
                g.handle(now + 100, attempt_ended(number, send.backend))
        assert len(used) <= 6
        for backend in used:
            gateways_of[backend] += 1
    assert min(gateways_of.values()) >= 3  # so that no backend depends on one or two gateways


def test_number_of_compared_backends_does_not_grow_with_the_fleet(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against work per event that grows with the fleet, counted in latency estimates."""
    estimate_counts = Counter[int]()
    expected_latency_ms = LoadBalancer.expected_latency_ms
    backends = 0

    def counting(
        balancer: LoadBalancer,
        now: float,
        backend: Backend,
        pending: PendingRequest,
        fleet_inflation: float,
    ) -> float:
        estimate_counts[backends] += 1
        return expected_latency_ms(balancer, now, backend, pending, fleet_inflation)

    monkeypatch.setattr(LoadBalancer, "expected_latency_ms", counting)
    for backends in (10, 1000):
        g = Gateway(gateway(gateways=2).settings, 1)
        g.handle(START_MS, endpoint_list_update(*range(1, backends + 1)))
        for number in range(100):
            now = START_MS + number * 10
            for send in actions_of_type(g.handle(now, request_arrived(number)), Send):
                g.handle(now, attempt_ended(number, send.backend))
    assert estimate_counts[10] / 100 <= 10
    assert estimate_counts[1000] / 100 <= 16


def test_backend_that_fails_one_class_is_avoided_for_that_class_only() -> None:
    """Guard against successful responses of one class that hide the failures of another."""
    failing, other = 1, 0  # classes
    g = gateway(*range(1, 6), classes=(IDEMPOTENT_CLASS, NOT_IDEMPOTENT_CLASS), plans=(Plan(0, 0),))
    to_faulty = Counter[int]()
    for number in range(1200):
        now = START_MS + number * 50
        class_index = number % 2
        for send in actions_of_type(g.handle(now, request_arrived(number, class_index)), Send):
            faulty = send.backend == 1
            if faulty and number > 100:
                to_faulty[class_index] += 1
            outcome = Outcome.ERROR if faulty and class_index == failing else Outcome.OK
            g.handle(
                now,
                attempt_ended(
                    number, send.backend, outcome, elapsed_ms=150.0 + 150.0 * class_index
                ),
            )
    assert to_faulty[failing] < 40  # of 550, of which an even share of a fifth would be 110
    assert to_faulty[other] > 60


def test_backends_that_left_the_list_are_removed() -> None:
    g = gateway(1)
    for backend in range(2, 500):
        g.handle(START_MS, endpoint_list_update(backend, kind=UpdateKind.FULL))
    assert list(g.endpoints.backends) == [499]
    assert sum(len(group) for group in g.endpoints.ready_by_group.values()) == 2
    assert len(g.endpoints.subset.ready) == 1
