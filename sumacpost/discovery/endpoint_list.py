"""Discovery's lists, read in pieces: what an ingress holds of one doesn't grow with the fleet."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from hashlib import blake2b
from typing import Any

import ijson  # type: ignore[import-untyped]

from sumacpost.address import Address, parse_address
from sumacpost.errors import EndpointListError
from sumacpost.model import BackendId, Endpoint, EndpointListUpdate, EndpointStatus, UpdateKind
from sumacpost.policy.subsetting import Partition, splitmix64

MAX_LIST = (
    64 * 1024 * 1024
)  # bytes of a list: four times what 99,000 backends take, for indented ones
MAX_ENTRIES = (
    1 << 18
)  # of a list: more than twice as many backends as the largest fleet that is planned
MAX_DEPTH = 8  # of nested values; a list has three
COMPANIONS = (
    2  # backends of other parts that are held for each cell, for repeats that have to stay there
)
MAX_TOKEN = 64 * 1024  # bytes with no value in them: no list has so long a text or so much space
STATES = {
    "active": EndpointStatus.READY,
    "leaving": EndpointStatus.DRAINING,
    "left": EndpointStatus.GONE,
}
ELSEWHERE = 0xFFFF  # the number of a zone or kind that the settings don't name

AddressByBackend = dict[BackendId, Address]
Kept = tuple[Endpoint, Address]
JsonEvent = tuple[str, Any]  # of ijson: what begins, ends or stands here, and its value


def backend_id(uid: str) -> BackendId:
    """The same number for a backend at every ingress and after every restart."""
    return int.from_bytes(blake2b(uid.encode(), digest_size=6).digest(), "big")


class IncrementalJson:
    """JSON that comes in pieces, handed as ijson's events to a sink; BadList if it is none."""

    def __init__(self, sink: Any) -> None:
        self._sink = sink
        self._decoder = ijson.basic_parse_coro(self, use_float=True)
        self._silent = 0  # bytes since the last event
        self.size = 0  # bytes so far

    def send(self, event: JsonEvent) -> None:
        """Called by the decoder with each event."""
        self._silent = 0
        self._sink.send(event)

    def feed(self, data: bytes) -> None:
        """The next piece; nothing of it is kept beyond a value that it breaks off in."""
        self.size += len(data)
        self._silent += len(data)
        try:
            self._decoder.send(data)
        except ijson.JSONError as error:
            raise EndpointListError(" ".join(str(error).split())) from error
        if self._silent > MAX_TOKEN:
            raise EndpointListError(f"no value in {self._silent} bytes")

    def finish(self) -> None:
        """All has come; BadList if it is not whole."""
        try:
            self._decoder.send(b"")
        except StopIteration:
            pass
        except ijson.JSONError as error:
            raise EndpointListError(" ".join(str(error).split())) from error
        finally:
            self._decoder = None  # it refers back to here


class EndpointListParser:
    """Puts one list together from JSON events: of its entries, those that the ingress's part holds."""

    def __init__(self, reader: EndpointListReader, partition: Partition) -> None:
        self._reader, self.partition = reader, partition
        self._depth = 0
        self._key = self._field = ""
        self._head: dict[str, Any] = {}
        self._entry: dict[str, Any] | None = None
        self._listing = False  # within the array of entries
        self.listed = 0  # entries so far that are not gone
        self._read = 0  # entries so far
        self._kept: dict[BackendId, Kept] = {}
        self._beside: dict[
            int, list[tuple[int, Kept]]
        ] = {}  # by cell: those of other parts, by rank

    def send(self, event: JsonEvent) -> None:
        """Take the next event; BadList if no list goes on like that."""
        name, value = event
        if self._entry is not None and self._depth == 3:
            if name == "map_key":
                self._field = value
                return
            if not name.startswith(("start", "end")):
                self._entry[self._field] = value
                return
        if name.startswith("start"):
            self._begin(name == "start_map")
        elif name.startswith("end"):
            self._end()
        elif self._depth == 1:
            if name == "map_key":
                self._key = value
            else:
                self._head[self._key] = value
        elif self._depth == 0 or (self._depth == 2 and self._listing):
            raise EndpointListError(f"{value!r:.40} where an object belongs")

    def _begin(self, is_map: bool) -> None:
        self._depth += 1
        if self._depth > MAX_DEPTH:
            raise EndpointListError("values nested too deep")
        if self._depth == 1 and not is_map:
            raise EndpointListError("no object")
        if self._depth == 2 and self._key == "targets":
            self._listing = not is_map
            self._head["targets"] = None if is_map else self._kept
        elif self._depth == 3 and self._listing:
            if not is_map:
                raise EndpointListError("an array where an entry belongs")
            self._entry = {}
        elif self._depth == 4 and self._entry is not None:
            self._entry[self._field] = None  # no field that is known holds one

    def _end(self) -> None:
        if self._depth == 3 and self._entry is not None:
            entry, self._entry = self._entry, None
            self._take(entry)
        elif self._depth == 2:
            self._listing = False
        self._depth -= 1

    def _take(self, raw: dict[str, Any]) -> None:
        try:
            number, state = backend_id(raw["uid"]), STATES[raw["state"]]
            self._read += 1
            self.listed += state is not EndpointStatus.GONE
            if self._read > MAX_ENTRIES:
                raise EndpointListError(f"more than {MAX_ENTRIES} entries")
            if self.partition.holds(number) or self._reader.deduplication_peer(number):
                self._kept[number] = (
                    self._reader.entry(number, state, raw),
                    parse_address(raw["endpoint"]),
                )
            elif self._reader.cells:
                self._stand_by(
                    number,
                    state,
                    int(raw.get("pod_group", 0)),
                    lambda: (
                        self._reader.entry(number, state, raw),
                        parse_address(raw["endpoint"]),
                    ),
                )
        except (KeyError, TypeError, AttributeError, OverflowError, ValueError) as error:
            raise EndpointListError(f"{raw!r:.200}: {error!r}") from error
        if self.partition.grow_for(self.listed):
            for number in [n for n in self._kept if not self.partition.holds(n)]:
                kept = self._kept.pop(number)
                if self._reader.cells:
                    self._stand_by(number, kept[0].state, kept[0].cell, partial(next, iter([kept])))

    def _stand_by(
        self, number: BackendId, state: EndpointStatus, cell: int, made: Callable[[], Kept]
    ) -> None:
        """Hold it for its cell if this ingress's hash puts it before those that are held for that."""
        others, rank = self._beside.setdefault(cell, []), self._reader.rank(number)
        if state is EndpointStatus.READY and (len(others) < COMPANIONS or rank < others[-1][0]):
            others.append((rank, made()))
            others.sort(key=lambda other: other[0])
            del others[COMPANIONS:]

    def _accompany(self) -> None:
        """Of the backends of other parts keep some for each cell that this part has a backend of."""
        outside: dict[int, list[BackendId]] = {}
        cells = {
            entry.cell for number, (entry, _) in self._kept.items() if self.partition.holds(number)
        }
        for number, (entry, _) in self._kept.items():
            if not self.partition.holds(number):
                outside.setdefault(entry.cell, []).append(number)
        for cell, numbers in outside.items():
            for number in numbers[COMPANIONS if cell in cells else 0 :]:
                del self._kept[number]
        for cell in cells:
            for _, kept in self._beside.get(cell, ())[
                : max(0, COMPANIONS - len(outside.get(cell, ())))
            ]:
                self._kept[kept[0].backend] = kept

    @property
    def held(self) -> int:
        """Entries that are held so far."""
        return len(self._kept) + sum(map(len, self._beside.values()))

    def result(self, cached: bool = False) -> tuple[EndpointListUpdate, AddressByBackend]:
        """The list, once all of it has come."""
        try:
            kept, whole, version = (
                self._head["targets"],
                bool(self._head["all"]),
                int(self._head["rev"]),
            )
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise EndpointListError(f"no list of backends: {error!r}") from error
        if kept is not self._kept:
            raise EndpointListError("its targets are no array")
        kind = (UpdateKind.CACHED if cached else UpdateKind.FULL) if whole else UpdateKind.CHANGES
        if whole and self.partition.partition_count > 1 and self._reader.cells:
            self._accompany()
        return (
            EndpointListUpdate(
                kind,
                [entry for entry, _ in self._kept.values()],
                version,
                self.partition.partition_count,
            ),
            {number: address for number, (_, address) in self._kept.items()},
        )


class EndpointListReader:
    """Reads discovery's lists into the gateway's form, and remembers which part of them is kept.

    gateways and index: of the fleet, as the settings tell them; cells: repeats of some class have to stay in
    the cell of the first attempt.
    """

    def __init__(
        self,
        zones: Iterable[str],
        kinds: Iterable[str],
        gateways: int = 1,
        index: int = 0,
        cells: bool = False,
    ) -> None:
        self._zones = {name: number for number, name in enumerate(zones)}
        self._kinds = {name: number for number, name in enumerate(kinds)}
        self._gateways, self._index, self.cells = gateways, index, cells
        self._parts = 1
        self._numbers: dict[BackendId, None] = {}  # the backends kept, as the lists told
        self._inside = 0  # of them, those of this ingress's part
        self.needs_repartitioning = (
            False  # the whole list is wanted: a part of another size fits the fleet
        )

    def deduplication_peer(self, number: BackendId) -> bool:
        """It is held though it is of another part, as of the last list."""
        return self.cells and number in self._numbers

    def rank(self, number: BackendId) -> int:
        """The order in which this ingress chooses from other parts; it is its own, so that all are chosen."""
        return splitmix64(number ^ splitmix64(self._index + 1))

    def begin(self) -> EndpointListParser:
        """A list is about to come."""
        return EndpointListParser(
            self,
            Partition(self._gateways, self._index, 1 if self.needs_repartitioning else self._parts),
        )

    def adopt(self, sink: EndpointListParser, update: EndpointListUpdate) -> None:
        """A list is believed: later ones are kept by the same part, until another fits the fleet better."""
        partition = sink.partition
        if update.kind is not UpdateKind.CHANGES:
            self._numbers, self._inside, self.needs_repartitioning = {}, 0, False
        elif partition.partition_count != self._parts:
            self._numbers = {n: None for n in self._numbers if partition.holds(n)}
            self._inside = len(self._numbers)
        self._parts = partition.partition_count
        for entry in update.entries:
            known, stays = entry.backend in self._numbers, entry.state is not EndpointStatus.GONE
            if stays and not known:
                self._numbers[entry.backend] = None
                self._inside += partition.holds(entry.backend)
            elif known and not stays:
                del self._numbers[entry.backend]
                self._inside -= partition.holds(entry.backend)
        self.needs_repartitioning = self.needs_repartitioning or partition.needs_repartitioning(
            self._inside
        )

    def read(
        self, data: bytes, cached: bool = False
    ) -> tuple[EndpointListUpdate, AddressByBackend]:
        """A list that is there already, as JSON; BadList if it is none."""
        sink = self.begin()
        pieces = IncrementalJson(sink)
        pieces.feed(data)
        pieces.finish()
        update, endpoints = sink.result(cached)
        self.adopt(sink, update)
        return update, endpoints

    def entry(self, number: BackendId, state: EndpointStatus, raw: dict[str, Any]) -> Endpoint:
        """One entry in the gateway's form; ValueError or TypeError if it can't be that."""
        size, boot_ms = float(raw.get("capacity_hint", 1.0)), float(raw.get("boot_ms", 0))
        if not (0 <= size < 1e6 and 0 <= boot_ms < 1e15):
            raise ValueError(f"a backend of size {size}, up since {boot_ms}")
        # boot_ms is Unix time, and so is the scale of the gateway's clock: see ingress.Clock
        return Endpoint(
            number,
            state,
            self._zones.get(raw.get("az", ""), ELSEWHERE),
            self._kinds.get(raw.get("model", ""), ELSEWHERE),
            int(raw.get("pod_group", 0)),
            size,
            boot_ms,
        )
