"""Partitioning of a long endpoint list, and the subset of it that each gateway sends to.

Both depend only on the list and the gateway's index, so gateways agree without communication.
"""

from bisect import bisect_left
from math import ceil, gcd
from typing import NamedTuple

MIN_SUBSET_SIZE = 3  # fewest backends of a gateway, and fewest gateways of a backend
MAX_CANDIDATES = 16  # backends compared for one attempt
# Bound on a gateway's number of backends, relative to the mean. With a value closer to 1, one
# change of the list changes many other pairs of a gateway and a backend.
MAX_LOAD_FACTOR = 1.05
# Draws for one gateway after which a backend may have one more gateway than the mean.
RELAXATION_ATTEMPTS = 16
MAX_PARTITION_BACKENDS = 1024
MIN_PARTITION_GATEWAYS = 32
# Most gateways whose subsets are computed together: a change of the list then takes a millisecond
# or two.
MAX_SHARD_GATEWAYS = 512
UINT64_MASK = (1 << 64) - 1
ROUNDING_ERROR = 1e-9  # tolerance when a mean is rounded up


def splitmix64(number: int) -> int:
    """Return a 64-bit hash (the finalizer of splitmix64) that is the same at every gateway."""
    number = (number ^ number >> 30) * 0xBF58476D1CE4E5B9 & UINT64_MASK
    number = (number ^ number >> 27) * 0x94D049BB133111EB & UINT64_MASK
    return number ^ number >> 31


class Partition:
    """The part of a long list that one gateway stores: its memory doesn't grow with the fleet.

    Backends are assigned by hash, and gateways by index, to a number of partitions that is a power
    of two. A short list has one partition.
    """

    def __init__(self, gateways: int, index: int, partition_count: int = 1) -> None:
        self.gateways = gateways
        self.index = index
        self.partition_count = partition_count

    def contains(self, backend: int) -> bool:
        """Return whether the backend belongs to this gateway's partition."""
        return self.partition_count == 1 or self.contains_hash(splitmix64(backend))

    def contains_hash(self, backend_hash: int) -> bool:
        """Return whether the backend with this hash belongs to this gateway's partition."""
        return backend_hash % self.partition_count == self.index % self.partition_count

    def split_to_fit(self, list_length: int) -> bool:
        """Split partitions until a list of this length fits; return whether any were split."""
        previous_count = self.partition_count
        while list_length > self.partition_count * MAX_PARTITION_BACKENDS and self._is_divisible():
            self.partition_count *= 2
        return self.partition_count != previous_count

    def needs_repartitioning(self, backend_count: int) -> bool:
        """Return whether a partition with this many backends is far too large or too small."""
        if backend_count > 2 * MAX_PARTITION_BACKENDS:
            return self._is_divisible()
        return self.partition_count > 1 and backend_count < MAX_PARTITION_BACKENDS / 4

    def _is_divisible(self) -> bool:
        """Return whether each of twice as many partitions would have enough gateways."""
        return 2 * self.partition_count * MIN_PARTITION_GATEWAYS <= self.gateways


class ReadyBackend(NamedTuple):
    """A ready backend with the values drawn from its hash; sorts by hash."""

    hash: int
    backend: int
    first_gateway: int  # start of the probe sequence
    step: int  # distance between consecutive gateways of the probe sequence
    fraction: float  # in [0, 1); decides whether the mean number of gateways is rounded up


class Assignment(NamedTuple):
    """The subsets of all gateways of a shard."""

    subsets: list[list[int]]  # backends by gateway
    gateway_counts: dict[int, int]  # number of gateways of the shard, by backend


class Subset:
    """The ready backends of its partition that a gateway sends to.

    Consistent hashing with bounded loads: each backend, in the order of hashes, is assigned to
    gateways along its own probe sequence, skipping full ones; then gateways with fewer backends
    than the mean get further ones. Loads are even, and few pairs change when a backend is added or
    removed. The result doesn't depend on the history of the list. The gateways of a large fleet
    form shards that compute their subsets separately; each shard provides a part of a backend's
    gateways.
    """

    def __init__(self, gateways: int, index: int, partition_count: int = 1) -> None:
        partition_gateways = len(range(index % partition_count, gateways, partition_count))
        position = index // partition_count
        self.shard_count = 1
        while partition_gateways > self.shard_count * MAX_SHARD_GATEWAYS:
            self.shard_count *= 2
        self.shard = position % self.shard_count
        self.shard_gateways = len(range(self.shard, partition_gateways, self.shard_count))
        self.ready: list[ReadyBackend] = []
        self._shard_position = position // self.shard_count
        # A step that is coprime to the number of gateways visits each of them once.
        candidates = range(1, max(2, self.shard_gateways))
        self._steps = [step for step in candidates if gcd(step, self.shard_gateways) == 1]
        self._is_current = False  # whether the attributes below match self.ready
        self._members: list[int] = []
        self._gateway_counts: dict[int, int] = {}
        self._subsets: list[list[int]] = []  # by gateway of the shard
        self._ranks: dict[int, int | None] = {}  # cache, by backend

    def set_ready(self, backend: int, ready: bool, backend_hash: int | None = None) -> None:
        """Record whether a backend is ready.

        backend_hash: the splitmix64 of the backend, if the caller has it already.
        """
        key = (splitmix64(backend) if backend_hash is None else backend_hash, backend)
        position = bisect_left(self.ready, key)
        was_ready = self.ready[position : position + 1] and self.ready[position][:2] == key
        if ready and not was_ready:
            self.ready.insert(position, self._with_draws(*key))
            self._is_current = False
        elif was_ready and not ready:
            del self.ready[position]
            self._is_current = False

    def members(self) -> list[int]:
        """Return the backends in this gateway's subset."""
        if not self._is_current:
            self._update()
        return self._members

    def gateway_count(self, backend: int) -> int:
        """Return how many gateways of all shards send to this backend."""
        if not self._is_current:
            self._update()
        return max(1, self._gateway_counts.get(backend, 1)) * self.shard_count

    def rank_of(self, backend: int) -> int | None:
        """Return this gateway's rank among those that send to a backend, or None if it does not.

        Ranks start at 0 and are below gateway_count(backend).
        """
        if not self._is_current:
            self._update()
        if backend not in self._ranks:
            self._ranks[backend] = self._find_rank(backend)
        return self._ranks[backend]

    def _find_rank(self, backend: int) -> int | None:
        if backend not in self._members:
            return None
        previous_subsets = self._subsets[: self._shard_position]
        return sum(backend in subset for subset in previous_subsets) * self.shard_count + self.shard

    def assign(self) -> Assignment:
        """Compute the subsets of all gateways of this shard."""
        backend_count = len(self.ready)
        fair_gateways = MIN_SUBSET_SIZE * self.shard_gateways / max(1, backend_count)
        mean_gateways = max(MIN_SUBSET_SIZE / self.shard_count, fair_gateways)
        mean_size = backend_count * mean_gateways / self.shard_gateways
        max_size = ceil(MAX_LOAD_FACTOR * max(MIN_SUBSET_SIZE, mean_size) - ROUNDING_ERROR)
        min_size = max(MIN_SUBSET_SIZE, ceil(mean_size - ROUNDING_ERROR))
        assignment = self._assign_bounded(mean_gateways, max_size)
        self._fill_up(assignment, mean_gateways, min(backend_count, min_size))
        return assignment

    def _update(self) -> None:
        self._subsets, self._gateway_counts = self.assign()
        self._members = self._subsets[self._shard_position]
        self._ranks = {}
        self._is_current = True

    def _with_draws(self, backend_hash: int, backend: int) -> ReadyBackend:
        draw = splitmix64(backend_hash)
        step = self._steps[(draw >> 20) % len(self._steps)]
        fraction = (draw >> 40) / (1 << 24)
        return ReadyBackend(backend_hash, backend, draw % self.shard_gateways, step, fraction)

    def _assign_bounded(self, mean_gateways: float, max_size: int) -> Assignment:
        """Assign gateways to backends along their probe sequences, with max_size backends each."""
        gateways = self.shard_gateways
        subsets: list[list[int]] = [[] for _ in range(gateways)]
        gateway_counts = {}
        free_slots = [max_size] * gateways
        shard_offset = self.shard / self.shard_count  # makes shards round differently
        for _, backend, first_gateway, step, fraction in self.ready:
            wanted = min(gateways, int(mean_gateways + (fraction + shard_offset) % 1))
            missing = wanted
            gateway = first_gateway
            for _ in range(gateways):
                if not missing:
                    break
                if free_slots[gateway]:
                    free_slots[gateway] -= 1
                    subsets[gateway].append(backend)
                    missing -= 1
                gateway = (gateway + step) % gateways
            gateway_counts[backend] = wanted - missing
        return Assignment(subsets, gateway_counts)

    def _fill_up(self, assignment: Assignment, mean_gateways: float, min_size: int) -> None:
        """Add backends to gateways with fewer than min_size, first backends of few gateways."""
        gateway_counts = assignment.gateway_counts
        for gateway, subset in enumerate(assignment.subsets):
            draw = gateway
            attempts = 0
            while len(subset) < min_size:
                draw = splitmix64(draw + 1)
                attempts += 1
                position = bisect_left(self.ready, (draw,)) % len(self.ready)
                backend = self.ready[position].backend
                max_gateways = mean_gateways + attempts / RELAXATION_ATTEMPTS
                if backend not in subset and gateway_counts[backend] <= max_gateways:
                    subset.append(backend)
                    gateway_counts[backend] += 1
