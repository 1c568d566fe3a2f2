"""The backends of the endpoint list, this gateway's subset of them, and their deduplication."""

from bisect import bisect_left, insort
from itertools import islice
from typing import NamedTuple

from sumacpost.model.events import Endpoint, EndpointListUpdate, EndpointStatus, UpdateKind
from sumacpost.model.settings import DeduplicationScope, RequestClass, Settings
from sumacpost.policy.backend import Backend
from sumacpost.policy.subsetting import MIN_SUBSET_SIZE, Partition, Subset, splitmix64


class DeduplicationGroup(NamedTuple):
    """The backends that drop each other's repeats: their scope, and the zone or cell (ALL: 0)."""

    scope: DeduplicationScope
    number: int


class EndpointTable:
    """The listed backends; those of another partition are there for repeated requests alone."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.backends: dict[int, Backend] = {}
        self.partition = Partition(settings.gateways, settings.index)
        self.subset = Subset(settings.gateways, settings.index)
        # hash and number of the ready backends of each group, in order
        self.ready_by_group: dict[DeduplicationGroup, list[tuple[int, int]]] = {}

    def update(self, event: EndpointListUpdate) -> None:
        """Follow the list: what it does not name as ready gets nothing new from now on."""
        if event.kind is UpdateKind.FAILED:
            return  # the old list stands
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
        """Return whether a backend is listed as ready, in this incarnation."""
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
        """Add a ready backend to the subset and its groups, or remove one that is not ready."""
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
        """Return the subset, or its part in a group, with others of the group if that is small."""
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
    """Return the groups of an endpoint, but for that of the whole fleet."""
    zone = DeduplicationGroup(DeduplicationScope.ZONE, endpoint.zone)
    return zone, DeduplicationGroup(DeduplicationScope.CELL, endpoint.cell)


def deduplication_group(endpoint: Endpoint, request_class: RequestClass) -> DeduplicationGroup:
    """Return the group that drops the repeats of a request of this class once it ran here."""
    for group in zone_and_cell_groups(endpoint):
        if group.scope is request_class.deduplication_scope:
            return group
    return DeduplicationGroup(DeduplicationScope.ALL, 0)
