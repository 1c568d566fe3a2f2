"""Partition of a long endpoint list, and the subset of backends that a gateway keeps to."""

from __future__ import annotations

from bisect import bisect_left
from math import ceil, gcd

USERS = 3  # gateways of a backend, and backends of a gateway, at least
LOOK = 16  # backends compared for one send
SPREAD = 1.05  # of the mean: backends that a gateway takes at most; tighter, one change moves many others
MAX_PARTITION_BACKENDS = 1024  # a part of the fleet has so many at most
MIN_PARTITION_GATEWAYS = 32  # and so many at least
TEAM = (
    512  # gateways whose subsets are drawn together, at most: one change costs a millisecond or two
)
MASK = (1 << 64) - 1  # of a hash


def splitmix64(number: int) -> int:
    """A hash of 64 bits, the finalizer of splitmix64: the same at every gateway."""
    number = (number ^ number >> 30) * 0xBF58476D1CE4E5B9 & MASK
    number = (number ^ number >> 27) * 0x94D049BB133111EB & MASK
    return number ^ number >> 31


class Partition:
    """The part of a long list that one gateway keeps, so that what it holds doesn't grow with the fleet.

    Backends and gateways are dealt to as many parts, a power of two. Short lists are one part.
    """

    def __init__(self, gateways: int, index: int, partition_count: int = 1) -> None:
        self.gateways, self.index, self.partition_count = gateways, index, partition_count

    @property
    def divisible(self) -> bool:
        """Twice as many parts would still have gateways enough for their backends."""
        return 2 * self.partition_count * MIN_PARTITION_GATEWAYS <= self.gateways

    def holds(self, backend: int) -> bool:
        return (
            self.partition_count == 1
            or splitmix64(backend) % self.partition_count == self.index % self.partition_count
        )

    def grow_for(self, listed: int) -> bool:
        """Divide on until a list of this length is borne; true if that changed the part."""
        before = self.partition_count
        while listed > self.partition_count * MAX_PARTITION_BACKENDS and self.divisible:
            self.partition_count *= 2
        return self.partition_count != before

    def needs_repartitioning(self, kept: int) -> bool:
        """The fleet has grown or shrunk so much that the whole list is to be divided anew."""
        if kept > 2 * MAX_PARTITION_BACKENDS:
            return self.divisible
        return self.partition_count > 1 and kept < MAX_PARTITION_BACKENDS / 4


class Subset:
    """The ready backends that each gateway of a part keeps to: evenly, and few change when one backend does.

    Consistent hashing with bounded loads. Each backend, in the order of the hashes, takes the gateways that
    its own hash names one after another, but those that have enough already; then gateways that were left
    with fewer than the mean take further backends. The same list gives the same pairs at every gateway,
    whatever came before. A large fleet draws in teams of gateways, which share out a backend's users.
    """

    def __init__(self, gateways: int, index: int, partition_count: int = 1) -> None:
        mates, place = (
            len(range(index % partition_count, gateways, partition_count)),
            index // partition_count,
        )
        self.teams = 1
        while mates > self.teams * TEAM:
            self.teams *= 2
        self.team, self.own = place % self.teams, place // self.teams
        self.gateways = len(range(self.team, mates, self.teams))
        self.steps = [n for n in range(1, max(2, self.gateways)) if gcd(n, self.gateways) == 1]
        # of each ready backend, in order: hash, number, first gateway, way to the next, and a draw in [0, 1)
        self.ready: list[tuple[int, int, int, int, float]] = []
        self.fresh = False  # members and users are those of the present list
        self.kept: list[int] = []
        self.used: dict[int, int] = {}

    def place(self, backend: int, ready: bool) -> None:
        """A backend is ready from now on, or is not."""
        number = splitmix64(backend)
        draw = splitmix64(number)
        step = self.steps[(draw >> 20) % len(self.steps)]
        place = number, backend, draw % self.gateways, step, (draw >> 40) / (1 << 24)
        at = bisect_left(self.ready, place)
        there = self.ready[at : at + 1] == [place]
        if there != ready:
            self.ready[at : at + there] = [place] * ready
            self.fresh = False

    def members(self) -> list[int]:
        """The backends that this gateway keeps to."""
        if not self.fresh:
            pairs, self.used = self.pairs()
            self.kept, self.fresh = pairs[self.own], True
        return self.kept

    def users(self, backend: int) -> int:
        """How many gateways keep to this backend."""
        self.members()
        return max(1, self.used.get(backend, 1)) * self.teams

    def pairs(self) -> tuple[list[list[int]], dict[int, int]]:
        """Of this gateway's team: each gateway's backends, and how many gateways each backend has."""
        backends, gateways, shift = len(self.ready), self.gateways, self.team / self.teams
        mean = max(USERS / self.teams, USERS * gateways / max(1, backends))  # gateways of a backend
        most = ceil(SPREAD * max(USERS, backends * mean / gateways) - 1e-9)
        kept: list[list[int]] = [[] for _ in range(gateways)]
        used = {}
        room = [most] * gateways
        for _, backend, at, step, draw in self.ready:
            wanted = used[backend] = min(gateways, int(mean + (draw + shift) % 1))
            for _ in range(gateways if wanted else 0):
                if room[at]:
                    room[at] -= 1
                    kept[at].append(backend)
                    wanted -= 1
                    if not wanted:
                        break
                at = (at + step) % gateways
            used[backend] -= wanted
        least = min(backends, max(USERS, ceil(backends * mean / gateways - 1e-9)))
        for number, mine in enumerate(kept):
            place, tries = number, 0
            while len(mine) < least:
                place, tries = splitmix64(place + 1), tries + 1
                backend = self.ready[bisect_left(self.ready, (place,)) % backends][1]
                if backend not in mine and used[backend] <= mean + tries / LOOK:
                    mine.append(backend)
                    used[backend] += 1
        return kept, used
