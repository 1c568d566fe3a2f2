"""A model of subsetting in an entire fleet: the effects of a replaced backend and a failed zone.

A pair consists of a gateway and a backend in its subset.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from math import ceil
from random import Random
from typing import Protocol

import msgspec
import numpy as np

from fleetlab.plan import ZONES
from sumacpost.policy.subsetting import MIN_SUBSET_SIZE, Partition, Subset


@dataclass(frozen=True, slots=True)
class FleetSize:
    """The numbers of gateways and backends in a fleet."""

    gateways: int
    backends: int


DEFAULT_SIZES = (
    FleetSize(40, 60),
    FleetSize(200, 200),
    FleetSize(690, 9900),
    FleetSize(6900, 99_000),  # the plan's size
)
SCHEMES = ("rank", "subset")  # the former scheme and the current one


class Scheme(Protocol):
    """A scheme that selects the backends in the subset of each gateway."""

    def set_ready(self, backend: int, ready: bool) -> None:
        """Add a backend to the list if it is ready, otherwise remove it."""

    def subsets(self) -> Iterator[list[int]]:
        """Yield the backends in the subset of each gateway."""


class RankScheme:
    """The former scheme: the subset of a gateway is a window of the sorted list of backends.

    The windows start at even distances and wrap around the end of the list.
    """

    def __init__(self, gateways: int) -> None:
        self._gateways = gateways
        self._ring: list[int] = []

    def set_ready(self, backend: int, ready: bool) -> None:
        """Add a backend to the ring if it is ready, otherwise remove it."""
        if ready:
            insort(self._ring, backend)
        else:
            del self._ring[bisect_left(self._ring, backend)]

    def subsets(self) -> Iterator[list[int]]:
        """Yield the window of each gateway."""
        count = len(self._ring)
        width = min(count, max(MIN_SUBSET_SIZE, ceil(count * MIN_SUBSET_SIZE / self._gateways)))
        for index in range(self._gateways):
            start = index * count // self._gateways
            wrapped = max(0, start + width - count)
            yield self._ring[start : start + width] + self._ring[:wrapped]


class SubsetScheme:
    """The current scheme: the list is divided into partitions, and each of them into subsets."""

    def __init__(self, gateways: int, backends: int) -> None:
        first_partition = Partition(gateways, 0)
        first_partition.split_to_fit(backends)
        self.partition_count = first_partition.partition_count
        indexes = range(self.partition_count)
        self._partitions = [Partition(gateways, index, self.partition_count) for index in indexes]
        self._shards = [self._make_shards(gateways, index) for index in indexes]

    def _make_shards(self, gateways: int, index: int) -> list[Subset]:
        first_shard = Subset(gateways, index, self.partition_count)
        return [
            Subset(gateways, index + shard * self.partition_count, self.partition_count)
            for shard in range(first_shard.shard_count)
        ]

    def set_ready(self, backend: int, ready: bool) -> None:
        """Add a backend to its partition if it is ready, otherwise remove it."""
        partition = next(
            index for index, partition in enumerate(self._partitions) if partition.contains(backend)
        )
        for shard in self._shards[partition]:
            shard.set_ready(backend, ready)

    def subsets(self) -> Iterator[list[int]]:
        """Yield the subset of each gateway."""
        for shards in self._shards:
            for shard in shards:
                yield from shard.assign().subsets


class PairFigures(msgspec.Struct):
    """The figures of one scheme at one fleet size.

    The figures count pairs, users (the gateways that have a given backend in their subset) and kept
    backends (those in the subset of a given gateway). All but new_pairs_mean and new_pairs_most
    describe the fleet before any backend is replaced.
    """

    scheme: str
    gateways: int
    backends: int
    new_pairs_mean: float  # per replaced backend, in the whole fleet
    new_pairs_most: int
    users_least: int
    users_mean: float
    users_most: int
    kept_least: int
    kept_mean: float
    kept_most: int
    left_least: float  # least share of a subset left if the zone with most of its backends fails


def measure(
    scheme: str, gateways: int, backends: int, seed: int = 1, replacements: int = 10
) -> PairFigures:
    """Return the figures of a fleet of which some backends are replaced, one after another.

    The backends are distributed evenly over the plan's zones. scheme: one of SCHEMES; ValueError
    otherwise. gateways, backends: at least 1 each. replacements: the number of replaced backends.
    """
    fleet = _new_scheme(scheme, gateways, backends)
    random = Random(seed)
    backend_ids = [random.getrandbits(48) for _ in range(backends)]
    for backend in backend_ids:
        fleet.set_ready(backend, True)
    subsets = list(fleet.subsets())
    zones = {backend: number % ZONES for number, backend in enumerate(backend_ids)}
    users = _count_users(backend_ids, subsets)
    subset_sizes = [len(subset) for subset in subsets]
    new_pairs = _replace_backends(fleet, backend_ids, _collect_pairs(subsets), random, replacements)
    return PairFigures(
        scheme=scheme,
        gateways=gateways,
        backends=backends,
        new_pairs_mean=float(np.mean(new_pairs)),
        new_pairs_most=max(new_pairs),
        users_least=min(users),
        users_mean=float(np.mean(users)),
        users_most=max(users),
        kept_least=min(subset_sizes),
        kept_mean=float(np.mean(subset_sizes)),
        kept_most=max(subset_sizes),
        left_least=min(_share_after_zone_failure(subset, zones) for subset in subsets),
    )


def _new_scheme(scheme: str, gateways: int, backends: int) -> Scheme:
    match scheme:
        case "rank":
            return RankScheme(gateways)
        case "subset":
            return SubsetScheme(gateways, backends)
    raise ValueError(f"unknown scheme {scheme!r}; the schemes are {', '.join(SCHEMES)}")


def _collect_pairs(subsets: Iterable[list[int]]) -> frozenset[tuple[int, int]]:
    return frozenset(
        (gateway, backend) for gateway, subset in enumerate(subsets) for backend in subset
    )


def _count_users(backend_ids: Iterable[int], subsets: Iterable[list[int]]) -> list[int]:
    """Return the number of subsets that contain each backend."""
    users = dict.fromkeys(backend_ids, 0)
    for subset in subsets:
        for backend in subset:
            users[backend] += 1
    return list(users.values())


def _share_after_zone_failure(subset: list[int], zones: dict[int, int]) -> float:
    """Return the share of a subset that is left if the zone with most of its backends fails."""
    by_zone = np.bincount([zones[backend] for backend in subset], minlength=ZONES)
    return float(1 - by_zone.max() / len(subset))


def _replace_backends(
    fleet: Scheme,
    backend_ids: list[int],
    pairs_before: frozenset[tuple[int, int]],
    random: Random,
    replacements: int,
) -> list[int]:
    """Replace random backends one after another, in the fleet and in `backend_ids`.

    Return the number of new pairs of each replacement.
    """
    new_pairs = []
    for _ in range(replacements):
        index = random.randrange(len(backend_ids))
        fleet.set_ready(backend_ids[index], False)
        backend_ids[index] = random.getrandbits(48)
        fleet.set_ready(backend_ids[index], True)
        pairs_after = _collect_pairs(fleet.subsets())
        new_pairs.append(len(pairs_after - pairs_before))
        pairs_before = pairs_after
    return new_pairs
