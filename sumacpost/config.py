"""What the platform tells an ingress: the file that RELAY_CONFIG names."""

from __future__ import annotations

from collections.abc import Callable, Generator, Iterable, Iterator
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from ijson.common import ObjectBuilder  # type: ignore[import-untyped]

from sumacpost.address import Address, parse_address
from sumacpost.discovery.endpoint_list import (
    AddressByBackend,
    EndpointListParser,
    EndpointListReader,
    IncrementalJson,
    JsonEvent,
)
from sumacpost.errors import ConfigError
from sumacpost.http1 import MAX_BODY
from sumacpost.model import DeduplicationScope, EndpointListUpdate, Settings, UpdateKind
from sumacpost.simulator.settings_text import parse_settings

MIN_SOCKETS = 64
MIN_MEMORY_MB = 24
PIECE = 8 * 1024  # bytes of the file that are held at once, and read in one turn of the loop
ANSWERS_HELD = (
    48  # of the greatest length, in all of the memory: an answer is held until it is whole
)


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one ingress."""

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    seed: int
    lists: EndpointListReader
    known: tuple[
        EndpointListUpdate, AddressByBackend
    ]  # the list of backends as this ingress last had it
    settings: Settings
    sockets: int
    max_answer: int  # bytes of a backend's answer
    connect_timeout_s: float
    idle_s: float  # a backend closes a connection that has stood idle this long


def flatten(value: object, path: str = "") -> Iterator[str]:
    """Nested settings as the simulator's path=value lines, so that parse_settings validates both."""
    match value:
        case dict():
            for key, item in value.items():
                yield from flatten(item, f"{path}.{key}" if path else str(key))
        case list() if any(isinstance(item, dict) for item in value) or (
            not value and path in _OBJECT_LISTS
        ):
            yield f"{path}.count={len(value)}"
            for number, item in enumerate(value):
                yield from flatten(item, f"{path}.{number}")
        case list():
            yield f"{path}=" + ",".join(_plain(item) for item in value)
        case None:
            pass
        case _:
            yield f"{path}={_plain(value)}"


_OBJECT_LISTS = ("categories", "plans")


def _plain(value: object) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    return "_".join(str(value).replace(",", " ").split())


def _named(parsed: Settings, raw: Any) -> Settings:
    """The settings with names as clients send them: on the simulator's wire a space or comma becomes _."""
    classes = [
        replace(c, name=str(r.get("name", "")))
        for c, r in zip(parsed.classes, raw["categories"], strict=True)
    ]
    plans = [
        replace(p, name=str(r.get("name", "")))
        for p, r in zip(parsed.plans, raw["plans"], strict=True)
    ]
    return replace(parsed, classes=tuple(classes), plans=tuple(plans))


class _Sink:
    """Builds the configuration from JSON events, but for its list of backends, which has its own sink."""

    def __init__(self, known: EndpointListParser | None) -> None:
        self._known, self._builder = known, ObjectBuilder()
        self._depth, self._in_known = 0, False
        self.has_known = False

    def send(self, event: JsonEvent) -> None:
        name, value = event
        if self._depth == 1 and name == "map_key":
            self._in_known = value == "known"
            if self._in_known:
                return
        self._depth -= name.startswith("end")
        if self._in_known and self._depth > 0:
            self.has_known = self.has_known or name != "null"
            if self._known is not None:
                self._known.send(event)
        else:
            self._builder.event(name, value)
        self._depth += name.startswith("start")

    @property
    def value(self) -> Any:
        return self._builder.value


Steps = Generator[None, None, Config]  # a step for each piece of the file, then the configuration


def _fill(sink: _Sink, pieces: Iterable[bytes]) -> Generator[None, None, _Sink]:
    decoder = IncrementalJson(sink)
    for piece in pieces:
        decoder.feed(piece)
        yield
    decoder.finish()
    return sink


def _run(steps: Steps) -> Config:
    while True:
        try:
            next(steps)
        except StopIteration as done:
            config: Config = done.value
            return config


def read_config(text: str) -> Config:
    """Validate all that the ingress uses; ConfigError names what is wrong."""
    return _run(_read(lambda: [text.encode()]))


def _read(pieces: Callable[[], Iterable[bytes]]) -> Steps:
    """The list of backends may be long and stand ahead of the settings, which tell its part: it is second."""
    try:
        first = yield from _fill(_Sink(None), pieces())
        raw = first.value
        settings = raw["settings"]
        permissions = settings.get("permissions", {})
        sockets = int(raw.get("limits", {}).get("sockets", 1024))
        if sockets < MIN_SOCKETS:
            raise ConfigError(f"limits.sockets: {sockets} is below {MIN_SOCKETS}")
        memory_mb = float(raw.get("limits", {}).get("memory_mb", 64))
        if not MIN_MEMORY_MB <= memory_mb < 1e9:
            raise ConfigError(f"limits.memory_mb: {memory_mb:g} is below {MIN_MEMORY_MB}")
        parsed = _named(parse_settings("\n".join(flatten(settings))), settings)
        idle_ms = float(permissions.get("conn_idle", 15_000))
        if not 0 < idle_ms < 1e12:
            raise ConfigError(f"permissions.conn_idle: {idle_ms:g} is no idle time of a connection")
        lists = EndpointListReader(
            settings.get("zones", ()),
            settings.get("machine_types", ()),
            parsed.gateways,
            parsed.index,
            any(c.deduplication_scope is DeduplicationScope.CELL for c in parsed.classes),
        )
        known: tuple[EndpointListUpdate, AddressByBackend] = (
            EndpointListUpdate(UpdateKind.CACHED, []),
            {},
        )
        if first.has_known:
            listed = lists.begin()
            yield from _fill(_Sink(listed), pieces())
            known = listed.result(cached=True)
            lists.adopt(listed, known[0])
        return Config(
            name=str(raw.get("name", "")),
            listen=parse_address(raw["listen"]),
            discovery=parse_address(raw["discovery"]),
            counter=parse_address(raw["counter"]) if raw.get("counter") else None,
            seed=int(raw.get("seed", "0"), 16),
            lists=lists,
            known=known,
            settings=parsed,
            sockets=sockets,
            max_answer=max(MAX_BODY, int(memory_mb * 1024 * 1024 / ANSWERS_HELD)),
            connect_timeout_s=parsed.connect_timeout_ms / 1000,
            idle_s=idle_ms / 1000,
        )
    except KeyError as error:
        raise ConfigError(f"{error.args[0]} is missing") from error
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigError(" ".join(str(error).split())) from error


def load_steps(path: str) -> Steps:
    """Read the file, a piece a step, so that other work can go on; ConfigError if it is of no use."""

    def pieces() -> Iterator[bytes]:
        with Path(path).open("rb") as file:
            while piece := file.read(PIECE):
                yield piece

    try:
        return (yield from _read(pieces))
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from error


def load_config(path: str) -> Config:
    """Read the file at once; ConfigError if that can't be done."""
    return _run(load_steps(path))
