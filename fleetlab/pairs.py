"""Which gateways keep to which backends, in a whole fleet: what a replaced backend or a lost zone costs."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator
from math import ceil
from random import Random
from typing import Protocol

import msgspec
import numpy as np

from fleetlab.plan import ZONES
from sumacpost.policy.subsetting import MIN_SUBSET_SIZE, Partition, Subset

SIZES = (
    (40, 60),
    (200, 200),
    (690, 9900),
    (6900, 99_000),
)  # gateways, backends; the last is the plan's
SCHEMES = ("rank", "subset")  # as it was, and as it is


class Scheme(Protocol):
    """A way for gateways to choose the backends that they keep to."""

    def place(self, backend: int, ready: bool) -> None:
        """A backend comes or goes."""

    def kept(self) -> Iterator[list[int]]:
        """The backends of each gateway."""


class ByRank:
    """As it was: each gateway keeps to a window of the sorted list, at its own share of the way round."""

    def __init__(self, gateways: int) -> None:
        self._gateways = gateways
        self._ring: list[int] = []

    def place(self, backend: int, ready: bool) -> None:
        if ready:
            insort(self._ring, backend)
        else:
            del self._ring[bisect_left(self._ring, backend)]

    def kept(self) -> Iterator[list[int]]:
        count = len(self._ring)
        width = min(count, max(MIN_SUBSET_SIZE, ceil(count * MIN_SUBSET_SIZE / self._gateways)))
        for index in range(self._gateways):
            start = index * count // self._gateways
            yield (self._ring[start : start + width] + self._ring[: max(0, start + width - count)])[
                :width
            ]


class BySubset:
    """As it is: the list is dealt to parts, and within each the subsets are drawn by bounded loads."""

    def __init__(self, gateways: int, backends: int) -> None:
        first = Partition(gateways, 0)
        first.grow_for(backends)
        self.partition_count = first.partition_count
        self._parts = [
            Partition(gateways, index, self.partition_count)
            for index in range(self.partition_count)
        ]
        self._shards = [
            [
                Subset(gateways, index + shard * self.partition_count, self.partition_count)
                for shard in range(Subset(gateways, index, self.partition_count).shard_count)
            ]
            for index in range(self.partition_count)
        ]

    def place(self, backend: int, ready: bool) -> None:
        at = next(
            number for number, partition in enumerate(self._parts) if partition.holds(backend)
        )
        for subset in self._shards[at]:
            subset.set_ready(backend, ready)

    def kept(self) -> Iterator[list[int]]:
        for shards in self._shards:
            for subset in shards:
                yield from subset.assign().subsets


class PairFigures(msgspec.Struct):
    """What one scheme does at one size; counts of pairs, users of a backend and backends of a gateway."""

    scheme: str
    gateways: int
    backends: int
    new_pairs_mean: float  # for each replaced backend, over the whole fleet
    new_pairs_most: int
    users_least: int
    users_mean: float
    users_most: int
    kept_least: int
    kept_mean: float
    kept_most: int
    left_least: float  # of a gateway's backends when the worst zone goes, as a share of all that it keeps to


def _numbered(kept: Iterable[list[int]]) -> frozenset[tuple[int, int]]:
    return frozenset((gateway, backend) for gateway, mine in enumerate(kept) for backend in mine)


def measure(
    scheme: str, gateways: int, backends: int, seed: int = 1, replacements: int = 10
) -> PairFigures:
    """Play replacements of one backend by another, in a fleet whose backends are dealt to the plan's zones.

    scheme: one of SCHEMES, ValueError for any other. gateways, backends: counts, one at least.
    """
    if scheme not in SCHEMES:
        raise ValueError(f"{scheme!r} is not one of {', '.join(SCHEMES)}")
    fleet: Scheme = ByRank(gateways) if scheme == "rank" else BySubset(gateways, backends)
    draw = Random(seed)
    listed = [draw.getrandbits(48) for _ in range(backends)]
    zones = {backend: number % ZONES for number, backend in enumerate(listed)}
    for backend in listed:
        fleet.place(backend, True)
    kept = list(fleet.kept())
    users = dict.fromkeys(listed, 0)
    left = []
    for mine in kept:
        for backend in mine:
            users[backend] += 1
        lost = np.bincount([zones[backend] for backend in mine], minlength=ZONES).max()
        left.append(1 - lost / len(mine))
    before, new = _numbered(kept), []
    for _ in range(replacements):
        at = draw.randrange(backends)
        fleet.place(listed[at], False)
        listed[at] = draw.getrandbits(48)
        fleet.place(listed[at], True)
        now = _numbered(fleet.kept())
        new.append(len(now - before))
        before = now
    widths = [len(mine) for mine in kept]
    return PairFigures(
        scheme,
        gateways,
        backends,
        float(np.mean(new)),
        max(new),
        min(users.values()),
        float(np.mean(list(users.values()))),
        max(users.values()),
        min(widths),
        float(np.mean(widths)),
        max(widths),
        float(min(left)),
    )
