"""Which backends a gateway keeps to: evenly, few move when one backend does, and no more than its part of the fleet."""

from __future__ import annotations

from math import ceil
from random import Random

import pytest

from sumacpost.model import Endpoint, EndpointListUpdate, Outcome, Send, UpdateKind
from sumacpost.policy.subsetting import (
    MAX_CANDIDATES,
    MAX_PARTITION_BACKENDS,
    MAX_SHARD_GATEWAYS,
    MIN_SUBSET_SIZE,
    Partition,
    Subset,
)
from tests.support.builders import KEYED, SAFE, START, ended, fleet, gateway, request

SIZES = [
    (6, 12),
    (5, 17),
    (40, 60),
    (200, 200),
    (300, 70),
    (30, 12),
    (3, 12),
    (54, 773),
    (2, 1),
    (1, 9),
]


def some(backends: int, seed: int = 1) -> list[int]:
    draw = Random(seed)
    return [draw.getrandbits(48) for _ in range(backends)]


def placed(gateways: int, backends: list[int], index: int = 0, partition_count: int = 1) -> Subset:
    subset = Subset(gateways, index, partition_count)
    for backend in backends:
        subset.set_ready(backend, True)
    return subset


def pairs(subset: Subset) -> frozenset[tuple[int, int]]:
    return frozenset(
        (number, backend) for number, kept in enumerate(subset.assign().subsets) for backend in kept
    )


@pytest.mark.parametrize(("gateways", "backends"), SIZES)
def test_every_backend_has_enough_gateways_and_every_gateway_enough_backends(
    gateways: int, backends: int
) -> None:
    kept, used = placed(gateways, some(backends)).assign()
    assert min(used.values()) >= min(MIN_SUBSET_SIZE, gateways)
    assert max(used.values()) <= max(MIN_SUBSET_SIZE + 1, 1.4 * min(used.values()))
    assert min(map(len, kept)) >= min(
        backends, max(MIN_SUBSET_SIZE, ceil(MIN_SUBSET_SIZE * backends / gateways))
    )
    assert max(map(len, kept)) <= max(
        MIN_SUBSET_SIZE + 1, 1.1 * MIN_SUBSET_SIZE * backends / gateways + 1
    )
    assert all(len(mine) == len(dict.fromkeys(mine)) for mine in kept)
    counted = dict.fromkeys(used, 0)
    for mine in kept:
        for backend in mine:
            counted[backend] += 1
    assert counted == used


# by rank in a ring it was 14, 77, 84 and 23 here, and grew with the fleet
@pytest.mark.parametrize(
    ("gateways", "backends", "most"), [(40, 60, 13), (200, 200, 14), (300, 70, 65), (54, 773, 9)]
)
def test_a_replaced_backend_moves_few_others(gateways: int, backends: int, most: int) -> None:
    listed, draw = some(backends), Random(2)
    subset = placed(gateways, listed)
    before, new = pairs(subset), 0
    for _ in range(20):
        at = draw.randrange(backends)
        subset.set_ready(listed[at], False)
        listed[at] = draw.getrandbits(48)
        subset.set_ready(listed[at], True)
        now = pairs(subset)
        new += len(now - before)
        before = now
    assert new / 20 <= most


@pytest.mark.parametrize(("gateways", "backends"), [(6900, 200), (1000, 900), (3000, 1)])
def test_a_fleet_of_many_gateways_draws_in_teams_that_share_out_the_users(
    gateways: int, backends: int
) -> None:
    """Drawn all together, 6,900 gateways before 200 backends took a tenth of a second for each change of the list."""
    listed, used, kept = some(backends), dict.fromkeys(some(backends), 0), []
    for index in range(Subset(gateways, 0).shard_count):
        subset = placed(gateways, listed, index)
        assert subset.shard_gateways <= MAX_SHARD_GATEWAYS
        mine, users = subset.assign()
        kept += mine
        for backend, count in users.items():
            used[backend] += count
        assert subset.members() == mine[0]
        assert (
            0.8
            <= subset.gateways_of(listed[0])
            / max(MIN_SUBSET_SIZE, MIN_SUBSET_SIZE * gateways / backends)
            <= 1.3
            or backends == 1
        )
    assert len(kept) == gateways
    assert (
        min(map(len, kept)) == min(MIN_SUBSET_SIZE, backends)
        and max(map(len, kept)) <= MIN_SUBSET_SIZE + 1
    )
    assert min(used.values()) >= min(MIN_SUBSET_SIZE, gateways)
    assert max(used.values()) <= max(2 * MIN_SUBSET_SIZE, 1.4 * min(used.values()))


def test_the_same_list_gives_the_same_pairs_whatever_came_before() -> None:
    listed = some(60)
    direct, roundabout = placed(40, listed), placed(40, some(30, 2))
    for backend in some(30, 2):
        roundabout.members()
        roundabout.set_ready(backend, False)
    for backend in reversed(listed):
        roundabout.set_ready(backend, True)
        roundabout.set_ready(backend, True)  # told twice
    assert pairs(direct) == pairs(roundabout)
    assert direct.members() == direct.assign()[0][0]


def test_a_fleet_of_the_planned_size_is_kept_evenly_and_lives_through_the_loss_of_a_zone() -> None:
    """6,900 gateways, 99,000 backends in 21 zones: each is kept to, and none by much fewer than others."""
    gateways, listed = 6900, some(99_000)
    partition = Partition(gateways, 0)
    assert partition.grow_for(len(listed))
    partition_count: list[list[int]] = [[] for _ in range(partition.partition_count)]
    for backend in listed:
        (at,) = [
            n for n in range(2) if Partition(gateways, n, 2).holds(backend)
        ]  # one holds it, whatever the number
        for n in range(at, partition.partition_count, 2):
            if Partition(gateways, n, partition.partition_count).holds(backend):
                partition_count[n].append(backend)
                break
    assert sum(map(len, partition_count)) == len(listed)
    assert max(map(len, partition_count)) <= MAX_PARTITION_BACKENDS
    zones = {backend: n % 21 for n, backend in enumerate(listed)}
    for n in range(0, partition.partition_count, 8):
        kept, used = placed(gateways, partition_count[n], n, partition.partition_count).assign()
        assert MIN_SUBSET_SIZE <= min(used.values()) <= max(used.values()) <= MIN_SUBSET_SIZE + 2
        assert min(map(len, kept)) >= 35 and max(map(len, kept)) <= 55
        for mine in kept:
            assert min(sum(zones[b] != lost for b in mine) for lost in range(21)) >= 0.7 * len(mine)


def test_what_one_gateway_holds_does_not_grow_with_the_fleet() -> None:
    for gateways, backends in [(200, 200), (690, 9900), (6900, 99_000), (20_000, 300_000)]:
        partition = Partition(gateways, gateways // 2)
        partition.grow_for(backends)
        assert backends / partition.partition_count <= MAX_PARTITION_BACKENDS
        assert (
            gateways / partition.partition_count >= 10 * MIN_SUBSET_SIZE
        )  # so that backends are spread well within it
    few = Partition(3, 0)
    assert not few.grow_for(5000) and few.holds(7)  # three gateways can't spare any


def test_a_part_that_fits_no_more_is_told_and_one_at_its_bounds_is_not() -> None:
    partition = Partition(20_000, 5)
    partition.grow_for(99_000)
    assert partition.needs_repartitioning(
        2 * MAX_PARTITION_BACKENDS + 1
    ) and partition.needs_repartitioning(MAX_PARTITION_BACKENDS // 4 - 1)
    assert not partition.needs_repartitioning(
        2 * MAX_PARTITION_BACKENDS
    ) and not partition.needs_repartitioning(MAX_PARTITION_BACKENDS // 4)
    partition = Partition(6900, 5)
    partition.grow_for(99_000)
    assert not partition.needs_repartitioning(
        5 * MAX_PARTITION_BACKENDS
    )  # it has as few gateways as a part may have
    assert not Partition(6900, 5).needs_repartitioning(3) and not Partition(
        3, 0
    ).needs_repartitioning(5000)


def test_a_list_of_more_parts_takes_away_what_this_gateway_does_not_hold() -> None:
    listed = some(400)
    g = gateway(*listed, gateways=640, index=9)
    assert len(g.endpoints.backends) == 400
    partition = Partition(640, 9, 4)
    held = [b for b in listed if partition.holds(b)]
    g.handle(START, EndpointListUpdate(UpdateKind.CHANGES, [Endpoint(held[0])], partition_count=4))
    assert (
        sorted(g.endpoints.backends)
        == sorted(held)
        == sorted(b for _, b, *_ in g.endpoints.subset.ready)
    )
    assert 60 <= len(held) <= 140
    assert [type(a) for a in g.handle(START, request(1))] == [Send]


def test_the_budget_of_a_cold_backend_is_shared_among_its_users() -> None:
    budgets = []
    for gateways in (2, 40):
        g = gateway(*range(1, 41), gateways=gateways, index=0, initial_capacity=0.5)
        g.handle(START, fleet(*range(1, 41), kind=UpdateKind.CHANGES, up=START))
        (backend, *_) = g.endpoints.subset.members()
        g.load_balancer.slow_start.admits(START, g.endpoints.backends[backend], 1.0)
        budgets.append(
            (g.endpoints.backends[backend].slow_start_work, g.endpoints.subset.gateways_of(backend))
        )
    (few, two), (many, more) = budgets
    assert two == 2 and more >= MIN_SUBSET_SIZE
    assert many <= few


def test_a_keyed_repeat_finds_others_of_its_group_that_the_gateway_does_not_keep_to() -> None:
    """Of the 30 backends of a zone a gateway keeps to hardly one: the repeat still has three to choose from."""
    zones = {n: n % 30 for n in range(1, 901)}
    for index in range(0, 900, 90):
        g = gateway(1, gateways=900, index=index, classes=(KEYED,))
        g.handle(
            START,
            EndpointListUpdate(
                UpdateKind.FULL, [Endpoint(n, zone=z, cell=z) for n, z in zones.items()]
            ),
        )
        (send,) = [a for a in g.handle(START, request(1)) if isinstance(a, Send)]
        again = [
            a
            for a in g.handle(START + 50, ended(1, send.backend, Outcome.RESET, took=50))
            if isinstance(a, Send)
        ]
        assert (
            again
            and again[0].backend != send.backend
            and zones[again[0].backend] == zones[send.backend]
        )
        assert len(g.load_balancer.candidates(g.pending[1])) == MIN_SUBSET_SIZE


def test_a_decision_compares_no_more_backends_in_a_large_part() -> None:
    g = gateway(*some(1000), gateways=40, classes=(SAFE,))
    g.handle(START, request(1))
    assert len(g.endpoints.subset.members()) > MAX_CANDIDATES
    assert len(g.load_balancer.candidates(g.pending[1])) == MAX_CANDIDATES
