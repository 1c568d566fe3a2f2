"""When backends started, on the clock of this machine.

Discovery gives it by the clock that the fleet shares. This machine's wall clock may be wrong, by
seconds or by an hour, as the process starts: a cold backend would be taken for a warm one, or the
other way about.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from math import inf

from sumacpost.model import BackendId, Endpoint, EndpointListUpdate, EndpointStatus, UpdateKind

MIN_START_INTERVAL_MS = 1.0  # between two starts of one backend


class StartTimeConverter:
    """Turns the starts that lists give into times of this machine's clock.

    The fleet's clock can't be asked. But a backend can't have started after discovery told of it,
    so no start is placed in the future. And a clock is ahead of the fleet's by no more than lies
    between any start and the moment at which it was told; the shortest such time is taken for how
    far it is ahead. Where starts are told late that makes backends look younger than they are,
    which costs a part of their capacity for a while; they never look older.

    The first list tells of all starts late. It is taken for a sign of the clock as well where most
    of its backends have been up for long: those that have not are few, and may be cold. Where most
    have started, together perhaps and a while ago, the clock is trusted.
    """

    def __init__(self, now_ms: Callable[[], float]) -> None:
        self._now_ms = now_ms
        self._clock_offset_ms = inf  # of the fleet's clock, at most
        self._converted: dict[BackendId, tuple[float, float]] = {}  # starts by both clocks

    def convert(self, update: EndpointListUpdate, live: bool) -> None:
        """Replace the starts of an update's entries.

        live: discovery was heard before, so that a start that is new was told soon after it.
        """
        now = self._now_ms()
        if update.kind in (UpdateKind.FULL, UpdateKind.CACHED):
            self._forget_unlisted(update.entries)
        if live or _most_started_long_ago(update.entries):
            self._compare_clocks(now, update.entries)
        for entry in update.entries:
            if entry.state is EndpointStatus.GONE:
                self._converted.pop(entry.backend, None)
            elif entry.up_since_ms:
                entry.up_since_ms = self._convert(now, entry)

    def _forget_unlisted(self, entries: Iterable[Endpoint]) -> None:
        listed = {entry.backend for entry in entries}
        for backend in [backend for backend in self._converted if backend not in listed]:
            del self._converted[backend]

    def _compare_clocks(self, now: float, entries: Iterable[Endpoint]) -> None:
        for entry in entries:
            if entry.up_since_ms and not self._is_known(entry):
                self._clock_offset_ms = min(
                    self._clock_offset_ms, max(0.0, now - entry.up_since_ms)
                )

    def _is_known(self, entry: Endpoint) -> bool:
        known = self._converted.get(entry.backend)
        return known is not None and known[0] == entry.up_since_ms

    def _convert(self, now: float, entry: Endpoint) -> float:
        """Return a start by this machine's clock, the same each time that it is listed.

        A later start of the same backend gets a later time, whatever is thought of the clock now.
        """
        if not self._is_known(entry):
            offset_ms = self._clock_offset_ms if self._clock_offset_ms < inf else 0.0
            start = min(now, entry.up_since_ms + offset_ms)
            previous_boot_ms, previous_start_ms = self._converted.get(entry.backend, (inf, 0.0))
            if entry.up_since_ms > previous_boot_ms:
                start = max(start, previous_start_ms + MIN_START_INTERVAL_MS)
            self._converted[entry.backend] = (entry.up_since_ms, start)
        return self._converted[entry.backend][1]


def _most_started_long_ago(entries: Sequence[Endpoint]) -> bool:
    started = sum(1 for entry in entries if entry.up_since_ms)
    return 2 * started <= len(entries)
