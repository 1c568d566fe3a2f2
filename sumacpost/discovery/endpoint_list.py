"""Incremental parsing of endpoint lists, with memory use that doesn't grow with the fleet.

A list is a JSON object: "rev" is its version, "all" is true for a full list and false for changes
to an earlier one, and "targets" is the array of its entries.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum, auto
from hashlib import blake2b
from typing import Any, NamedTuple

from sumacpost.address import Address, parse_address
from sumacpost.discovery.deduplication_peers import (
    DEDUPLICATION_PEERS_PER_CELL,
    DeduplicationPeers,
    ListedBackend,
)
from sumacpost.discovery.incremental_json import IncrementalJsonDecoder, JsonEvent
from sumacpost.errors import EndpointListError
from sumacpost.model import BackendId, Endpoint, EndpointListUpdate, EndpointStatus, UpdateKind
from sumacpost.policy.subsetting import Partition, splitmix64

# Four times the size of a list of 99,000 backends, to allow for indented lists.
MAX_LIST_BYTES = 64 * 1024 * 1024
MAX_ENTRIES = 1 << 18  # more than twice the backends of the largest planned fleet
MAX_DEPTH = 8  # levels of nested values; a valid list needs three
MAX_BACKEND_SIZE = 1e6  # relative to a standard backend
MAX_BOOT_MS = 1e15
MAX_CELL = 1 << 53  # larger numbers have no exact form in many JSON writers
UNKNOWN_INDEX = 0xFFFF  # index of a zone or machine type that the settings don't name
STATUS_BY_NAME = {
    "active": EndpointStatus.READY,
    "leaving": EndpointStatus.DRAINING,
    "left": EndpointStatus.GONE,
}

# The fields that are read; values of others are dropped, as a list may have any number of them.
LIST_FIELDS = frozenset({"rev", "all", "targets"})
ENTRY_FIELDS = frozenset(
    {"uid", "endpoint", "az", "model", "pod_group", "state", "capacity_hint", "boot_ms"}
)

START_EVENTS = frozenset({"start_map", "start_array"})
END_EVENTS = frozenset({"end_map", "end_array"})

AddressByBackend = dict[BackendId, Address]


class EndpointList(NamedTuple):
    """An endpoint list as an update for the gateway, and the addresses of its backends."""

    update: EndpointListUpdate
    addresses: AddressByBackend


def backend_id(uid: str) -> BackendId:
    """Return the id of a backend, the same at every ingress and after every restart."""
    return int.from_bytes(blake2b(uid.encode(), digest_size=6).digest(), "big")


class _JsonContext(Enum):
    """The kinds of JSON values that can enclose the parser's position."""

    DOCUMENT = auto()
    LIST = auto()  # the outermost object
    TARGETS = auto()  # the array of entries
    ENTRY = auto()
    IGNORED = auto()  # a nested value of an unknown field, or of one that must not be nested


class EndpointListParser:
    """Builds one list from JSON events, storing only what the gateway needs.

    The gateway needs the entries of its partition and its deduplication peers. The partition is
    divided as the list grows, and entries that it no longer contains are dropped immediately.
    """

    def __init__(self, reader: EndpointListReader, partition: Partition) -> None:
        self.partition = partition
        self._reader = reader
        self._outer_contexts: list[_JsonContext] = []  # enclosing values, outermost first
        self._context = _JsonContext.DOCUMENT
        self._list_fields: dict[str, Any] = {}
        self._entry_fields: dict[str, Any] = {}
        # Fields of the object that is being parsed; None where fields are ignored.
        self._current_fields: dict[str, Any] | None = None
        self._field_names = LIST_FIELDS  # of the object that is being parsed
        self._current_key = ""
        self._entry_count = 0
        self._present_count = 0  # entries of backends that have not been removed
        self._stored: dict[BackendId, ListedBackend] = {}
        self._peers = DeduplicationPeers(reader.rank)

    def send(self, event: JsonEvent) -> None:
        """Process the next event; raise EndpointListError if it is invalid at this position."""
        name, value = event
        if name == "map_key":
            if self._current_fields is not None:
                self._current_key = value
        elif name in START_EVENTS:
            self._begin_value(is_map=name == "start_map")
        elif name in END_EVENTS:
            self._end_value()
        elif self._current_fields is not None:
            self._set_field(value)
        elif self._context is not _JsonContext.IGNORED:
            raise EndpointListError(f"expected an object, got {value!r:.40}")

    @property
    def stored_count(self) -> int:
        """The number of entries stored so far."""
        return len(self._stored) + len(self._peers)

    def result(self, cached: bool = False) -> EndpointList:
        """Return the complete list; raise EndpointListError if it is invalid.

        cached: whether the list comes from this ingress's configuration, not from discovery.
        """
        try:
            targets = self._list_fields["targets"]
            is_full = bool(self._list_fields["all"])
            version = int(self._list_fields["rev"])
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise EndpointListError(f"invalid endpoint list: {error!r}") from error
        if not isinstance(targets, list):
            raise EndpointListError("'targets' is not an array")
        kind = UpdateKind.CHANGES
        if is_full:
            kind = UpdateKind.CACHED if cached else UpdateKind.FULL
            if self.partition.partition_count > 1 and self._reader.has_cell_scope:
                self._choose_deduplication_peers()
        entries = [listed.endpoint for listed in self._stored.values()]
        return EndpointList(
            EndpointListUpdate(kind, entries, version, self.partition.partition_count),
            {backend: listed.address for backend, listed in self._stored.items()},
        )

    def _begin_value(self, is_map: bool) -> None:
        self._outer_contexts.append(self._context)
        if len(self._outer_contexts) > MAX_DEPTH:
            raise EndpointListError(f"values nested deeper than {MAX_DEPTH} levels")
        match self._context:
            case _JsonContext.DOCUMENT:
                if not is_map:
                    raise EndpointListError("expected an object, got an array")
                self._set_context(_JsonContext.LIST)
            case _JsonContext.LIST if self._current_key == "targets":
                # An empty array represents the entries, which are stored separately.
                self._list_fields["targets"] = None if is_map else []
                self._set_context(_JsonContext.IGNORED if is_map else _JsonContext.TARGETS)
            case _JsonContext.TARGETS:
                if not is_map:
                    raise EndpointListError("expected an entry, got an array")
                self._entry_fields = {}
                self._set_context(_JsonContext.ENTRY)
            case _JsonContext.ENTRY:
                self._set_field(None)
                self._set_context(_JsonContext.IGNORED)
            case _:
                self._set_context(_JsonContext.IGNORED)

    def _end_value(self) -> None:
        ended = self._context
        self._set_context(self._outer_contexts.pop())
        if ended is _JsonContext.ENTRY:
            self._add_entry(self._entry_fields)

    def _set_context(self, value: _JsonContext) -> None:
        self._context = value
        if value is _JsonContext.ENTRY:
            self._current_fields = self._entry_fields
            self._field_names = ENTRY_FIELDS
        elif value is _JsonContext.LIST:
            self._current_fields = self._list_fields
            self._field_names = LIST_FIELDS
        else:
            self._current_fields = None

    def _set_field(self, value: object) -> None:
        """Set a field of the current object, if it is one that is read."""
        if self._current_fields is not None and self._current_key in self._field_names:
            self._current_fields[self._current_key] = value

    def _add_entry(self, raw: dict[str, Any]) -> None:
        self._entry_count += 1
        if self._entry_count > MAX_ENTRIES:
            raise EndpointListError(f"more than {MAX_ENTRIES} entries")
        try:
            backend = backend_id(raw["uid"])
            status = STATUS_BY_NAME[raw["state"]]
            if self.partition.contains(backend) or self._reader.is_deduplication_peer(backend):
                self._stored[backend] = self._reader.parse_entry(backend, status, raw)
            elif self._reader.has_cell_scope:
                # Most entries are skipped here; only the few candidates are converted.
                cell = int(raw.get("pod_group", 0))
                if self._peers.is_candidate(backend, status, cell):
                    self._peers.add(self._reader.parse_entry(backend, status, raw))
        except (KeyError, TypeError, AttributeError, OverflowError, ValueError) as error:
            raise EndpointListError(f"{raw!r:.200}: {error!r}") from error
        self._present_count += status is not EndpointStatus.GONE
        if self.partition.split_to_fit(self._present_count):
            self._drop_other_partitions()

    def _drop_other_partitions(self) -> None:
        for backend in [stored for stored in self._stored if not self.partition.contains(stored)]:
            listed = self._stored.pop(backend)
            endpoint = listed.endpoint
            if self._reader.has_cell_scope and self._peers.is_candidate(
                backend, endpoint.state, endpoint.cell
            ):
                self._peers.add(listed)

    def _choose_deduplication_peers(self) -> None:
        """Choose the same number of peers for each cell with a backend in the partition.

        Peers that were chosen for the last list take precedence.
        """
        cells: set[int] = set()
        peers_by_cell: dict[int, list[BackendId]] = {}
        for backend, listed in self._stored.items():
            cell = listed.endpoint.cell
            if self.partition.contains(backend):
                cells.add(cell)
            else:
                peers_by_cell.setdefault(cell, []).append(backend)
        for cell, peers in peers_by_cell.items():
            for backend in peers[DEDUPLICATION_PEERS_PER_CELL if cell in cells else 0 :]:
                del self._stored[backend]
        for cell in cells:
            missing = max(0, DEDUPLICATION_PEERS_PER_CELL - len(peers_by_cell.get(cell, ())))
            for listed in self._peers.lowest_ranked(cell, missing):
                self._stored[listed.endpoint.backend] = listed


class EndpointListReader:
    """Reads endpoint lists as updates for the gateway, and tracks the gateway's known backends.

    Attributes:
        has_cell_scope: whether a request class must be retried in the cell of the first attempt.
        needs_repartitioning: whether the fleet size requires another partition count, and so a
            full list.
    """

    def __init__(
        self,
        zones: Iterable[str],
        machine_types: Iterable[str],
        gateways: int = 1,
        index: int = 0,
        has_cell_scope: bool = False,
    ) -> None:
        self.has_cell_scope = has_cell_scope
        self.needs_repartitioning = False
        self._zones = {name: number for number, name in enumerate(zones)}
        self._machine_types = {name: number for number, name in enumerate(machine_types)}
        self._gateways = gateways
        self._index = index
        self._partition_count = 1
        self._known_backends: dict[BackendId, None] = {}
        self._partition_backend_count = 0  # known backends that are not deduplication peers

    def is_deduplication_peer(self, backend: BackendId) -> bool:
        """Return whether a backend of another partition was known after the last list."""
        return self.has_cell_scope and backend in self._known_backends

    def rank(self, backend: BackendId) -> int:
        """Return the rank by which this gateway chooses deduplication peers, the lowest first.

        Each gateway has its own order, so that every backend is chosen by some gateways.
        """
        return splitmix64(backend ^ splitmix64(self._index + 1))

    def new_parser(self) -> EndpointListParser:
        """Return a parser for the next list."""
        partition_count = 1 if self.needs_repartitioning else self._partition_count
        return EndpointListParser(self, Partition(self._gateways, self._index, partition_count))

    def has_partition_of(self, parser: EndpointListParser) -> bool:
        """Return whether the partition that a parser has used is that of the last list."""
        return parser.partition.partition_count == self._partition_count

    def adopt(self, parser: EndpointListParser, update: EndpointListUpdate) -> None:
        """Record an accepted list, and use its partition for the lists that follow."""
        partition = parser.partition
        if update.kind is not UpdateKind.CHANGES:
            self._known_backends = {}
            self._partition_backend_count = 0
            self.needs_repartitioning = False
        elif partition.partition_count != self._partition_count:
            self._known_backends = {
                backend: None for backend in self._known_backends if partition.contains(backend)
            }
            self._partition_backend_count = len(self._known_backends)
        self._partition_count = partition.partition_count
        for entry in update.entries:
            was_known = entry.backend in self._known_backends
            is_present = entry.state is not EndpointStatus.GONE
            if is_present and not was_known:
                self._known_backends[entry.backend] = None
                self._partition_backend_count += partition.contains(entry.backend)
            elif was_known and not is_present:
                del self._known_backends[entry.backend]
                self._partition_backend_count -= partition.contains(entry.backend)
        if partition.needs_repartitioning(self._partition_backend_count):
            self.needs_repartitioning = True

    def read(self, data: bytes, cached: bool = False) -> EndpointList:
        """Read and adopt a list encoded as JSON; raise EndpointListError if it is invalid."""
        parser = self.new_parser()
        with IncrementalJsonDecoder(parser) as decoder:
            decoder.feed(data)
            decoder.finish()
        endpoint_list = parser.result(cached)
        self.adopt(parser, endpoint_list.update)
        return endpoint_list

    def parse_entry(
        self, backend: BackendId, status: EndpointStatus, raw: dict[str, Any]
    ) -> ListedBackend:
        """Convert an entry; raise KeyError, TypeError, ValueError or the like if it is invalid."""
        size = float(raw.get("capacity_hint", 1.0))
        boot_ms = float(raw.get("boot_ms", 0))
        if not (0 <= size < MAX_BACKEND_SIZE and 0 <= boot_ms < MAX_BOOT_MS):
            raise ValueError(f"capacity_hint {size} or boot_ms {boot_ms} out of range")
        cell = int(raw.get("pod_group", 0))
        if abs(cell) > MAX_CELL:
            raise ValueError("pod_group out of range")
        # boot_ms is Unix time, as is the gateway's clock: see sumacpost.clock.Clock.
        endpoint = Endpoint(
            backend,
            status,
            self._zones.get(raw.get("az", ""), UNKNOWN_INDEX),
            self._machine_types.get(raw.get("model", ""), UNKNOWN_INDEX),
            cell,
            size,
            boot_ms,
        )
        return ListedBackend(endpoint, parse_address(raw["endpoint"]))
