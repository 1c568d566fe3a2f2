"""Subsets are even and within a partition, and few pairs change when a backend does."""

from __future__ import annotations

from math import ceil
from random import Random

import pytest

from sumacpost.model import Action, Endpoint, EndpointListUpdate, Outcome, Send, UpdateKind
from sumacpost.policy.subsetting import (
    MAX_CANDIDATES,
    MAX_PARTITION_BACKENDS,
    MAX_SHARD_GATEWAYS,
    MIN_SUBSET_SIZE,
    Partition,
    Subset,
    splitmix64,
)
from tests.support.builders import (
    IDEMPOTENT_CLASS,
    KEYED_CELL_CLASS,
    START_MS,
    attempt_ended,
    endpoint_list_update,
    gateway,
    request_arrived,
)

SIZES = [  # gateways, backends
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


def random_backends(count: int, seed: int = 1) -> list[int]:
    random = Random(seed)
    return [random.getrandbits(48) for _ in range(count)]


def subset_of(
    gateways: int, backends: list[int], index: int = 0, partition_count: int = 1
) -> Subset:
    """Return the subset of a gateway for which all these backends are ready."""
    subset = Subset(gateways, index, partition_count)
    for backend in backends:
        subset.set_ready(backend, True)
    return subset


def assigned_pairs(subset: Subset) -> frozenset[tuple[int, int]]:
    """Return all pairs of a gateway and a backend of its subset."""
    return frozenset(
        (gateway, backend)
        for gateway, backends in enumerate(subset.assign().subsets)
        for backend in backends
    )


def sends(actions: list[Action]) -> list[Send]:
    return [action for action in actions if isinstance(action, Send)]


@pytest.mark.parametrize(("gateways", "backends"), SIZES)
def test_every_backend_has_enough_gateways_and_every_gateway_enough_backends(
    gateways: int, backends: int
) -> None:
    subsets, gateway_counts = subset_of(gateways, random_backends(backends)).assign()
    mean_size = MIN_SUBSET_SIZE * backends / gateways
    fewest_gateways = min(gateway_counts.values())
    assert fewest_gateways >= min(MIN_SUBSET_SIZE, gateways)
    assert max(gateway_counts.values()) <= max(MIN_SUBSET_SIZE + 1, 1.4 * fewest_gateways)
    assert min(map(len, subsets)) >= min(backends, max(MIN_SUBSET_SIZE, ceil(mean_size)))
    assert max(map(len, subsets)) <= max(MIN_SUBSET_SIZE + 1, 1.1 * mean_size + 1)
    assert all(len(subset) == len(dict.fromkeys(subset)) for subset in subsets)
    counted = dict.fromkeys(gateway_counts, 0)
    for subset in subsets:
        for backend in subset:
            counted[backend] += 1
    assert counted == gateway_counts


# Assignment by rank in a ring changed 14, 77, 84 and 23 pairs here, and more in larger fleets.
@pytest.mark.parametrize(
    ("gateways", "backends", "max_new_pairs"),
    [(40, 60, 13), (200, 200, 14), (300, 70, 65), (54, 773, 9)],
)
def test_a_replaced_backend_changes_few_other_pairs(
    gateways: int, backends: int, max_new_pairs: int
) -> None:
    listed = random_backends(backends)
    random = Random(2)
    subset = subset_of(gateways, listed)
    before = assigned_pairs(subset)
    new_pairs = 0
    for _ in range(20):
        position = random.randrange(backends)
        subset.set_ready(listed[position], False)
        listed[position] = random.getrandbits(48)
        subset.set_ready(listed[position], True)
        after = assigned_pairs(subset)
        new_pairs += len(after - before)
        before = after
    assert new_pairs / 20 <= max_new_pairs


@pytest.mark.parametrize(("gateways", "backends"), [(6900, 200), (1000, 900), (3000, 1)])
def test_shards_of_a_large_fleet_divide_the_gateways_of_a_backend(
    gateways: int, backends: int
) -> None:
    """Guard against slow updates.

    As one shard, 6,900 gateways of 200 backends took a tenth of a second for each change.
    """
    listed = random_backends(backends)
    gateway_counts = dict.fromkeys(listed, 0)
    subsets = []
    for index in range(Subset(gateways, 0).shard_count):
        subset = subset_of(gateways, listed, index)
        assert subset.shard_gateways <= MAX_SHARD_GATEWAYS
        shard = subset.assign()
        subsets += shard.subsets
        for backend, count in shard.gateway_counts.items():
            gateway_counts[backend] += count
        assert subset.members() == shard.subsets[0]
        mean_gateways = max(MIN_SUBSET_SIZE, MIN_SUBSET_SIZE * gateways / backends)
        assert 0.8 <= subset.gateway_count(listed[0]) / mean_gateways <= 1.3 or backends == 1
    assert len(subsets) == gateways
    assert min(map(len, subsets)) == min(MIN_SUBSET_SIZE, backends)
    assert max(map(len, subsets)) <= MIN_SUBSET_SIZE + 1
    fewest_gateways = min(gateway_counts.values())
    assert fewest_gateways >= min(MIN_SUBSET_SIZE, gateways)
    assert max(gateway_counts.values()) <= max(2 * MIN_SUBSET_SIZE, 1.4 * fewest_gateways)


def test_the_same_list_gives_the_same_pairs_after_any_history() -> None:
    listed = random_backends(60)
    earlier = random_backends(30, seed=2)
    direct = subset_of(40, listed)
    indirect = subset_of(40, earlier)
    for backend in earlier:
        indirect.members()
        indirect.set_ready(backend, False)
    for backend in reversed(listed):
        indirect.set_ready(backend, True)
        indirect.set_ready(backend, True)  # a repeated update
    assert assigned_pairs(direct) == assigned_pairs(indirect)
    assert direct.members() == direct.assign().subsets[0]


def test_a_precomputed_hash_gives_the_same_result() -> None:
    listed = random_backends(60)
    subset = Subset(40, 0)
    for backend in listed:
        subset.set_ready(backend, True, splitmix64(backend))
    assert subset.ready == subset_of(40, listed).ready
    subset.set_ready(listed[0], False, splitmix64(listed[0]))
    assert subset.ready == subset_of(40, listed[1:]).ready


def test_the_planned_fleet_is_assigned_evenly_and_keeps_most_backends_without_a_zone() -> None:
    """Check 6,900 gateways and 99,000 backends in 21 zones; backends have 3 to 5 gateways each."""
    gateways = 6900
    listed = random_backends(99_000)
    partition = Partition(gateways, 0)
    assert partition.split_to_fit(len(listed))
    partition_count = partition.partition_count
    partitions = backends_by_partition(gateways, partition_count, listed)
    assert sum(map(len, partitions)) == len(listed)
    assert max(map(len, partitions)) <= MAX_PARTITION_BACKENDS
    zones = {backend: number % 21 for number, backend in enumerate(listed)}
    for index in range(0, partition_count, 8):
        subset = subset_of(gateways, partitions[index], index, partition_count)
        subsets, gateway_counts = subset.assign()
        fewest, *_, most = sorted(gateway_counts.values())
        assert MIN_SUBSET_SIZE <= fewest <= most <= MIN_SUBSET_SIZE + 2
        assert min(map(len, subsets)) >= 35
        assert max(map(len, subsets)) <= 55
        for backends in subsets:
            left = [sum(zones[backend] != lost for backend in backends) for lost in range(21)]
            assert min(left) >= 0.7 * len(backends)


def backends_by_partition(
    gateways: int, partition_count: int, listed: list[int]
) -> list[list[int]]:
    """Return the backends of each partition."""
    partitions: list[list[int]] = [[] for _ in range(partition_count)]
    for backend in listed:
        # Partitions are split in two, so a backend stays in the same half of them.
        (half,) = [index for index in range(2) if Partition(gateways, index, 2).contains(backend)]
        for index in range(half, partition_count, 2):
            if Partition(gateways, index, partition_count).contains(backend):
                partitions[index].append(backend)
                break
    return partitions


def test_the_size_of_a_partition_does_not_grow_with_the_fleet() -> None:
    for gateways, backends in [(200, 200), (690, 9900), (6900, 99_000), (20_000, 300_000)]:
        partition = Partition(gateways, gateways // 2)
        partition.split_to_fit(backends)
        assert backends / partition.partition_count <= MAX_PARTITION_BACKENDS
        # Enough gateways to spread the backends of the partition evenly.
        assert gateways / partition.partition_count >= 10 * MIN_SUBSET_SIZE
    few_gateways = Partition(3, 0)
    assert not few_gateways.split_to_fit(5000)
    assert few_gateways.contains(7)


def test_repartitioning_is_needed_beyond_the_bounds_of_a_partition_and_not_at_them() -> None:
    partition = Partition(20_000, 5)
    partition.split_to_fit(99_000)
    assert partition.needs_repartitioning(2 * MAX_PARTITION_BACKENDS + 1)
    assert partition.needs_repartitioning(MAX_PARTITION_BACKENDS // 4 - 1)
    assert not partition.needs_repartitioning(2 * MAX_PARTITION_BACKENDS)
    assert not partition.needs_repartitioning(MAX_PARTITION_BACKENDS // 4)


def test_repartitioning_is_not_needed_where_it_is_not_possible() -> None:
    fewest_gateways = Partition(6900, 5)
    fewest_gateways.split_to_fit(99_000)
    assert not fewest_gateways.needs_repartitioning(5 * MAX_PARTITION_BACKENDS)
    assert not Partition(6900, 5).needs_repartitioning(3)
    assert not Partition(3, 0).needs_repartitioning(5000)


def test_a_list_of_more_partitions_removes_the_backends_of_the_others() -> None:
    listed = random_backends(400)
    g = gateway(*listed, gateways=640, index=9)
    assert len(g.endpoints.backends) == 400
    partition = Partition(640, 9, 4)
    own_backends = [backend for backend in listed if partition.contains(backend)]
    g.handle(
        START_MS,
        EndpointListUpdate(UpdateKind.CHANGES, [Endpoint(own_backends[0])], partition_count=4),
    )
    ready = sorted(entry.backend for entry in g.endpoints.subset.ready)
    assert sorted(g.endpoints.backends) == sorted(own_backends) == ready
    assert 60 <= len(own_backends) <= 140
    assert [type(action) for action in g.handle(START_MS, request_arrived(1))] == [Send]


def test_the_budget_of_a_cold_backend_is_shared_among_its_gateways() -> None:
    budgets = []
    gateway_counts = []
    for gateways in (2, 40):
        g = gateway(*range(1, 41), gateways=gateways, index=0, initial_capacity=0.5)
        g.handle(
            START_MS, endpoint_list_update(*range(1, 41), kind=UpdateKind.CHANGES, up=START_MS)
        )
        (backend, *_) = g.endpoints.subset.members()
        g.load_balancer.slow_start.admits(START_MS, g.endpoints.backends[backend], 1.0)
        budgets.append(g.endpoints.backends[backend].slow_start_share)
        gateway_counts.append(g.endpoints.subset.gateway_count(backend))
    assert gateway_counts[0] == 2
    assert gateway_counts[1] >= MIN_SUBSET_SIZE
    assert budgets[1] <= budgets[0]


def test_a_keyed_retry_can_choose_backends_of_its_group_outside_the_subset() -> None:
    """Guard against retries without a choice of backends.

    A subset contains about one of the 30 backends of a zone; the retry can choose among three.
    """
    zones = {backend: backend % 30 for backend in range(1, 901)}
    endpoints = [Endpoint(backend, zone=zone, cell=zone) for backend, zone in zones.items()]
    for index in range(0, 900, 90):
        g = gateway(1, gateways=900, index=index, classes=(KEYED_CELL_CLASS,))
        g.handle(START_MS, EndpointListUpdate(UpdateKind.FULL, endpoints))
        (send,) = sends(g.handle(START_MS, request_arrived(1)))
        reset = attempt_ended(1, send.backend, Outcome.RESET, elapsed_ms=50)
        retries = sends(g.handle(START_MS + 50, reset))
        assert retries
        assert retries[0].backend != send.backend
        assert zones[retries[0].backend] == zones[send.backend]
        assert len(g.load_balancer.candidates(g.pending[1])) == MIN_SUBSET_SIZE


def test_number_of_candidates_is_bounded_in_a_large_partition() -> None:
    g = gateway(*random_backends(1000), gateways=40, classes=(IDEMPOTENT_CLASS,))
    g.handle(START_MS, request_arrived(1))
    assert len(g.endpoints.subset.members()) > MAX_CANDIDATES
    assert len(g.load_balancer.candidates(g.pending[1])) == MAX_CANDIDATES
