"""The listed backends, this gateway's subset of them, and their deduplication groups."""

from bisect import bisect_left, insort
from itertools import islice
from typing import NamedTuple

from sumacpost.model.events import Endpoint, EndpointListUpdate, EndpointStatus, UpdateKind
from sumacpost.model.settings import DeduplicationScope, RequestClass, Settings
from sumacpost.policy.backend import Backend
from sumacpost.policy.subsetting import MIN_SUBSET_SIZE, Partition, Subset, splitmix64


class DeduplicationGroup(NamedTuple):
    """Backends that recognize each other's idempotency keys.

    Attributes:
        scope: the extent of the group.
        number: the number of the zone or cell; 0 for DeduplicationScope.ALL.
    """

    scope: DeduplicationScope
    number: int


class EndpointTable:
    """The listed backends; those outside the partition serve only retries by idempotency key."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.backends: dict[int, Backend] = {}
        self.partition = Partition(settings.gateways, settings.index)
        self.subset = Subset(settings.gateways, settings.index)
        # (hash, backend) of the ready backends of each group, sorted
        self.ready_by_group: dict[DeduplicationGroup, list[tuple[int, int]]] = {}

    def update(self, event: EndpointListUpdate) -> None:
        """Apply an update; backends that are not listed as ready get no new attempts afterwards."""
        if event.kind is UpdateKind.FAILED:
            return  # the previous list remains in use
        removed: list[int] = []
        if event.kind in (UpdateKind.FULL, UpdateKind.CACHED):
            listed = {endpoint.backend for endpoint in event.entries}
            removed = [number for number in self.backends if number not in listed]
        if event.partition_count != self.partition.partition_count:
            contains = self._repartition(event.partition_count).contains
            removed += [n for n in self.backends if not contains(n) and n not in removed]
        for number in removed:
            self._update_membership(self.backends.pop(number).endpoint, False)
        for endpoint in event.entries:
            self._update_endpoint(endpoint)

    def is_ready(self, backend: Backend) -> bool:
        """Return whether this incarnation of a backend is listed as ready."""
        known = self.backends.get(backend.endpoint.backend)
        return known is backend and backend.endpoint.state is EndpointStatus.READY

    def _repartition(self, partition_count: int) -> Partition:
        settings = self._settings
        partition = Partition(settings.gateways, settings.index, partition_count)
        ready = self.subset.ready
        self.subset = Subset(settings.gateways, settings.index, partition_count)
        for backend in ready:
            in_partition = partition.contains_hash(backend.hash)
            self.subset.set_ready(backend.backend, in_partition, backend.hash)
        self.partition = partition
        return partition

    def _update_endpoint(self, endpoint: Endpoint) -> None:
        known = self.backends.get(endpoint.backend)
        if known is not None and known.endpoint == endpoint:
            return
        if known is not None:
            del self.backends[endpoint.backend]
            self._update_membership(known.endpoint, False)
        if known is None or endpoint.up_since_ms > known.endpoint.up_since_ms:
            known = Backend(endpoint, len(self._settings.classes))
        known.endpoint = endpoint
        if endpoint.state is not EndpointStatus.GONE:
            self.backends[endpoint.backend] = known
            self._update_membership(endpoint, endpoint.state is EndpointStatus.READY)

    def _update_membership(self, endpoint: Endpoint, ready: bool) -> None:
        """Add a ready backend to the subset and its groups, or remove one that is not ready.

        The subset takes only backends of this gateway's partition.
        """
        backend_hash = splitmix64(endpoint.backend)
        in_partition = self.partition.contains_hash(backend_hash)
        self.subset.set_ready(endpoint.backend, ready and in_partition, backend_hash)
        entry = (backend_hash, endpoint.backend)
        for group in zone_and_cell_groups(endpoint):
            members = self.ready_by_group.setdefault(group, [])
            position = bisect_left(members, entry)
            if entry in members[position : position + 1]:
                del members[position]
            if ready:
                insort(members, entry)
            if not members:
                del self.ready_by_group[group]

    def eligible(self, pinned_group: DeduplicationGroup | None) -> list[int]:
        """Return the backends that an attempt may be sent to.

        For a request that is not pinned to a zone or cell these are the subset. Otherwise they are
        the members of the subset in its group, filled up to MIN_SUBSET_SIZE with other backends of
        the group.
        """
        subset = self.subset.members()
        if pinned_group is None or pinned_group.scope is DeduplicationScope.ALL:
            return subset
        in_subset = [
            n for n in subset if pinned_group in zone_and_cell_groups(self.backends[n].endpoint)
        ]
        members = self.ready_by_group.get(pinned_group, [])
        position = bisect_left(members, (splitmix64(self._settings.index + 1), 0))
        outside_subset = (
            n for _, n in members[position:] + members[:position] if n not in in_subset
        )
        return in_subset + list(islice(outside_subset, max(0, MIN_SUBSET_SIZE - len(in_subset))))


def zone_and_cell_groups(endpoint: Endpoint) -> tuple[DeduplicationGroup, DeduplicationGroup]:
    """Return the groups of the endpoint's zone and cell."""
    zone = DeduplicationGroup(DeduplicationScope.ZONE, endpoint.zone)
    return zone, DeduplicationGroup(DeduplicationScope.CELL, endpoint.cell)


def deduplication_group(endpoint: Endpoint, request_class: RequestClass) -> DeduplicationGroup:
    """Return the group that recognizes the key of a request that was sent to this endpoint."""
    for group in zone_and_cell_groups(endpoint):
        if group.scope is request_class.deduplication_scope:
            return group
    return DeduplicationGroup(DeduplicationScope.ALL, 0)
