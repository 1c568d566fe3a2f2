"""Loads the configuration of an ingress: the JSON file that RELAY_CONFIG names.

The file contains the settings of the deployment, the addresses of this ingress and its peers, its
limits and, under `known`, the last endpoint list that the ingress had. That list may be long, so
the file is never loaded as a whole: it is decoded in chunks, and other work can run between two
chunks. It is read in two passes: first everything except the list, then the list alone. The
settings decide which part of the list this ingress keeps, and they may follow the list in the file.
"""

from __future__ import annotations

from collections.abc import Callable, Generator, Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ijson.common import ObjectBuilder  # type: ignore[import-untyped]

from sumacpost.address import Address, parse_address
from sumacpost.discovery.endpoint_list import (
    AddressByBackend,
    EndpointListParser,
    EndpointListReader,
)
from sumacpost.discovery.incremental_json import IncrementalJsonDecoder, JsonEvent
from sumacpost.errors import ConfigError
from sumacpost.http_message import MAX_BODY_BYTES
from sumacpost.model import DeduplicationScope, EndpointListUpdate, Settings, UpdateKind
from sumacpost.policy.memory_limits import MB, MemoryLimits, memory_limits
from sumacpost.settings_json import parse_settings_json

CHUNK_BYTES = 8 * 1024  # size of the part of the file that is decoded in one step
DEFAULT_SOCKETS = 1024
MIN_SOCKETS = 64
# Descriptors for other uses than clients and backends: listening, discovery, counter, event loop,
# standard streams.
RESERVED_SOCKETS = 48
DEFAULT_MEMORY_MB = 64
MIN_MEMORY_MB = 24
MAX_MEMORY_MB = 1e9
DEFAULT_IDLE_TIMEOUT_MS = 15_000
MAX_IDLE_TIMEOUT_MS = 1e12
# Responses are buffered until they are complete. The memory limit is divided by this number to get
# the maximum length of a response: this many responses of that length use all of the memory.
MAX_BUFFERED_RESPONSES = 48

JsonObject = dict[str, Any]
"""A decoded JSON object. A value of another type causes a TypeError or AttributeError on use."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one ingress.

    Attributes:
        name: the ingress's name, used in logs.
        listen: the address on which clients are served.
        discovery: the address of the discovery agent.
        counter: the address of the shared counter; None if there is no counter.
        seed: the seed of the gateway's random generator.
        endpoint_list_reader: reads the lists that discovery sends, starting from the initial
            endpoints.
        initial_endpoints: the last endpoint list that the ingress had; empty if it had none.
        initial_addresses: the addresses of the initial endpoints.
        settings: the settings of the gateway.
        max_sockets: the maximum number of descriptors that the ingress may have open.
        max_response_bytes: the maximum length of the body of a backend's response, in bytes.
        memory_limits: the limits on what clients and backends make the ingress hold.
        connect_timeout_s: the timeout for connecting to a backend, in seconds.
        backend_idle_timeout_s: how long a backend leaves an idle connection open, in seconds.
    """

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    seed: int
    endpoint_list_reader: EndpointListReader
    initial_endpoints: EndpointListUpdate
    initial_addresses: AddressByBackend
    settings: Settings
    max_sockets: int
    max_response_bytes: int
    memory_limits: MemoryLimits
    connect_timeout_s: float
    backend_idle_timeout_s: float

    @property
    def max_connections_per_side(self) -> int:
        """The limit on client connections, which is also the limit on backend connections."""
        return (self.max_sockets - RESERVED_SOCKETS) // 2


ConfigSteps = Generator[None, None, Config]
"""Reads a configuration: yields after each chunk of the file, then returns the configuration."""

OpenChunks = Callable[[], Iterable[bytes]]
"""Returns the chunks of the file from its start. Called once for each pass."""


def load_config(path: str) -> Config:
    """Read a configuration file without interruption; raise ConfigError if it is invalid."""
    return _run_to_end(load_config_in_steps(path))


def load_config_in_steps(path: str) -> ConfigSteps:
    """Read a configuration file chunk by chunk; any step raises ConfigError if it is invalid."""

    def open_chunks() -> Iterator[bytes]:
        with Path(path).open("rb") as file:
            while chunk := file.read(CHUNK_BYTES):
                yield chunk

    try:
        return (yield from _read_in_steps(open_chunks))
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from error


def read_config(text: str) -> Config:
    """Parse the text of a configuration file; raise ConfigError if it is invalid."""
    return _run_to_end(_read_in_steps(lambda: [text.encode()]))


def _run_to_end(steps: ConfigSteps) -> Config:
    while True:
        try:
            next(steps)
        except StopIteration as finished:
            config: Config = finished.value
            return config


# ---- the two passes


def _read_in_steps(open_chunks: OpenChunks) -> ConfigSteps:
    """Read a configuration; raise ConfigError that names a missing or invalid value."""
    try:
        return (yield from _read_both_passes(open_chunks))
    except KeyError as error:
        raise ConfigError(f"{error.args[0]} is missing") from error
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigError(" ".join(str(error).split())) from error


def _read_both_passes(open_chunks: OpenChunks) -> ConfigSteps:
    first_pass = _ConfigBuilder()
    yield from _decode(open_chunks(), first_pass)
    document = first_pass.document
    raw_settings = document["settings"]
    permissions = raw_settings.get("permissions", {})
    limits = _parse_limits(document.get("limits", {}))
    settings = parse_settings_json(raw_settings)
    backend_idle_timeout_s = _parse_idle_timeout_s(permissions)
    reader = _create_endpoint_list_reader(raw_settings, settings)
    endpoints = EndpointListUpdate(UpdateKind.CACHED, [])
    addresses: AddressByBackend = {}
    if first_pass.has_known:
        parser = reader.new_parser()
        yield from _decode(open_chunks(), _ConfigBuilder(parser))
        endpoints, addresses = parser.result(cached=True)
        reader.adopt(parser, endpoints)
    return Config(
        name=str(document.get("name", "")),
        listen=parse_address(document["listen"]),
        discovery=parse_address(document["discovery"]),
        counter=parse_address(document["counter"]) if document.get("counter") else None,
        seed=int(document.get("seed", "0"), 16),
        endpoint_list_reader=reader,
        initial_endpoints=endpoints,
        initial_addresses=addresses,
        settings=settings,
        max_sockets=limits.sockets,
        max_response_bytes=limits.max_response_bytes,
        memory_limits=limits.memory,
        connect_timeout_s=settings.connect_timeout_ms / 1000,
        backend_idle_timeout_s=backend_idle_timeout_s,
    )


def _decode(chunks: Iterable[bytes], builder: _ConfigBuilder) -> Generator[None, None, None]:
    """Send the JSON events of a file to the builder, yielding after each chunk."""
    with IncrementalJsonDecoder(builder) as decoder:
        for chunk in chunks:
            decoder.feed(chunk)
            yield
        decoder.finish()


class _ConfigBuilder:
    """Builds a document from JSON events, except for the value of its key `known`.

    The events of that value are sent to the endpoint list parser, or dropped if there is none.

    Attributes:
        has_known: whether the document has a value for `known` that is not null.
    """

    def __init__(self, known: EndpointListParser | None = None) -> None:
        self._known = known
        self._builder = ObjectBuilder()
        self._depth = 0
        self._in_known = False
        self.has_known = False

    @property
    def document(self) -> JsonObject:
        """The document without `known`; complete once all events have been sent."""
        document: JsonObject = self._builder.value
        return document

    def send(self, event: JsonEvent) -> None:
        """Process the next event."""
        kind, value = event
        if self._depth == 1 and kind == "map_key":
            self._in_known = value == "known"
            if self._in_known:
                return
        if kind.startswith("end"):
            self._depth -= 1
        if self._in_known and self._depth > 0:
            self._send_known(event)
        else:
            self._builder.event(kind, value)
        if kind.startswith("start"):
            self._depth += 1

    def _send_known(self, event: JsonEvent) -> None:
        kind, _ = event
        self.has_known = self.has_known or kind != "null"
        if self._known is not None:
            self._known.send(event)


# ---- the values


@dataclass(frozen=True, slots=True)
class _Limits:
    """The resource limits of the ingress."""

    sockets: int
    max_response_bytes: int
    memory: MemoryLimits


def _parse_limits(raw: JsonObject) -> _Limits:
    sockets = int(raw.get("sockets", DEFAULT_SOCKETS))
    if sockets < MIN_SOCKETS:
        raise ConfigError(f"limits.sockets: {sockets} is below {MIN_SOCKETS}")
    memory_mb = float(raw.get("memory_mb", DEFAULT_MEMORY_MB))
    if not MIN_MEMORY_MB <= memory_mb < MAX_MEMORY_MB:
        raise ConfigError(
            f"limits.memory_mb: {memory_mb:g} is not in the range"
            f" from {MIN_MEMORY_MB} to below {MAX_MEMORY_MB:g}"
        )
    buffer_bytes = int(memory_mb * MB / MAX_BUFFERED_RESPONSES)
    return _Limits(sockets, max(MAX_BODY_BYTES, buffer_bytes), memory_limits(memory_mb, sockets))


def _parse_idle_timeout_s(permissions: JsonObject) -> float:
    idle_ms = float(permissions.get("conn_idle", DEFAULT_IDLE_TIMEOUT_MS))
    if not 0 < idle_ms < MAX_IDLE_TIMEOUT_MS:
        raise ConfigError(
            f"permissions.conn_idle: {idle_ms:g} ms is not above 0 and below"
            f" {MAX_IDLE_TIMEOUT_MS:g} ms"
        )
    return idle_ms / 1000


def _create_endpoint_list_reader(
    raw_settings: JsonObject, settings: Settings
) -> EndpointListReader:
    return EndpointListReader(
        raw_settings.get("zones", ()),
        raw_settings.get("machine_types", ()),
        settings.gateways,
        settings.index,
        any(c.deduplication_scope is DeduplicationScope.CELL for c in settings.classes),
    )
