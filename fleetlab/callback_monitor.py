"""Measures the processor time of each callback of an event loop, by the callback's name."""

from __future__ import annotations

import asyncio
import functools
import gc
import time
from collections.abc import Callable
from contextvars import Context

import msgspec
import uvloop

SLOW_CALLBACK_S = 0.005
# The methods of a protocol, which the event loop calls without scheduling them.
PROTOCOL_METHODS = (
    "connection_made",
    "data_received",
    "eof_received",
    "connection_lost",
    "pause_writing",
    "resume_writing",
)


Callback = Callable[..., object]


class CallbackTimes(msgspec.Struct):
    """The times of one callback.

    Attributes:
        calls: the number of calls.
        slow_calls: how many of them took more than SLOW_CALLBACK_S.
        longest_ms: the processor time of the longest one, in milliseconds.
    """

    calls: int = 0
    slow_calls: int = 0
    longest_ms: float = 0.0


class CallbackMonitor:
    """The times of all callbacks of one event loop.

    Attributes:
        times: by the name of the callback; a step of a task has the name of its coroutine.
    """

    def __init__(self) -> None:
        self.times: dict[str, CallbackTimes] = {}
        self._nested = False
        self._collection_started_at = 0.0

    def call(self, name: str, callback: Callback, *args: object) -> object:
        """Call a callback and add its time; a call within another one belongs to that."""
        if self._nested:
            return callback(*args)
        self._nested = True
        started_at = time.thread_time()
        try:
            return callback(*args)
        finally:
            self._nested = False
            self._add(name, time.thread_time() - started_at)

    def _add(self, name: str, elapsed_s: float) -> None:
        times = self.times.setdefault(name, CallbackTimes())
        times.calls += 1
        times.slow_calls += elapsed_s > SLOW_CALLBACK_S
        times.longest_ms = max(times.longest_ms, elapsed_s * 1000)

    def monitor_protocol(self, protocol: type[asyncio.BaseProtocol]) -> None:
        """Measure the methods of all protocols of this class."""
        for name in PROTOCOL_METHODS:
            method = getattr(protocol, name, None)
            if method is not None:
                setattr(protocol, name, self._wrap(method))

    def monitor_garbage_collector(self) -> None:
        """Measure collections as well, by generation; their time is part of a callback's too."""
        gc.callbacks.append(self._on_collection)

    def _on_collection(self, phase: str, info: dict[str, int]) -> None:
        now = time.thread_time()
        if phase == "start":
            self._collection_started_at = now
        else:
            name = f"garbage collector, generation {info['generation']}"
            self._add(name, now - self._collection_started_at)

    def _wrap(self, method: Callback) -> Callback:
        @functools.wraps(method)
        def measured(*args: object) -> object:
            return self.call(method.__qualname__, method, *args)

        return measured

    def new_event_loop(self) -> uvloop.Loop:
        """Return an event loop that measures the callbacks which are scheduled on it."""
        return _MonitoredLoop(self)


class _MonitoredLoop(uvloop.Loop):
    """An event loop that passes its callbacks to a monitor.

    The signatures don't relate callback and arguments, as those of the event loop do.
    """

    def __init__(self, monitor: CallbackMonitor) -> None:
        super().__init__()
        self._monitor = monitor

    def call_soon(
        self, callback: Callback, *args: object, context: Context | None = None
    ) -> asyncio.Handle:
        """Schedule a callback for the next iteration."""
        call = functools.partial(self._monitor.call, _name_of(callback), callback, *args)
        return super().call_soon(call, context=context)

    def call_later(
        self, delay: float, callback: Callback, *args: object, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Schedule a callback after a delay in seconds."""
        call = functools.partial(self._monitor.call, _name_of(callback), callback, *args)
        return super().call_later(delay, call, context=context)

    def add_reader(self, fd: int, callback: Callback, *args: object) -> None:  # type: ignore[override]
        """Schedule a callback whenever a descriptor is readable."""
        call = functools.partial(self._monitor.call, _name_of(callback), callback, *args)
        super().add_reader(fd, call)


def _name_of(callback: Callback) -> str:
    owner = getattr(callback, "__self__", None)
    if isinstance(owner, asyncio.Task):
        return f"task {getattr(owner.get_coro(), '__qualname__', owner)}"
    return str(getattr(callback, "__qualname__", type(callback).__name__))
