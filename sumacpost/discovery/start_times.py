"""Conversion of the start times of backends to the clock of this machine.

Discovery reports start times on the clock that the fleet shares. The wall clock of this machine may
be wrong, by seconds or by an hour, when the process starts. Without conversion, a cold backend
would be taken for a warm one, or the reverse.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from math import inf

from sumacpost.model import BackendId, Endpoint, EndpointListUpdate, EndpointStatus, UpdateKind

MIN_START_INTERVAL_MS = 1.0  # between two converted start times of one backend


class StartTimeConverter:
    """Converts the start times in endpoint lists to the clock of this machine.

    The fleet's clock can't be queried. But a backend can't have started after discovery reported
    it, so no start time is converted to a time in the future. This machine's clock is also ahead of
    the fleet's by at most the difference between the time at which a report arrives, on this clock,
    and the reported start; the smallest such difference is used as the offset between the clocks.
    Where starts are reported late, backends look younger than they are, which costs a part of their
    capacity for a time. With this offset they never look older than they are.

    The first list reports all starts late. It is used to estimate the offset as well if most of its
    backends started so long ago that they have no start time: the others are few, and may be cold.
    If most backends have a start time, they may all have started together some time ago. The clock
    is then trusted: the offset is 0 until a later list gives an estimate.
    """

    def __init__(self, now_ms: Callable[[], float]) -> None:
        self._now_ms = now_ms
        self._clock_offset_ms = inf  # this clock minus the fleet's, at most; inf while unknown
        # Start times, in ms, on the fleet's clock and on this machine's clock.
        self._converted: dict[BackendId, tuple[float, float]] = {}

    def convert(self, update: EndpointListUpdate, live: bool) -> None:
        """Convert the start times of an update's entries in place.

        live: whether discovery has sent an earlier list to this process, so that the new starts in
        this update are reported soon after they happened.
        """
        now = self._now_ms()
        if update.kind in (UpdateKind.FULL, UpdateKind.CACHED):
            self._remove_unlisted(update.entries)
        if live or _most_started_long_ago(update.entries):
            self._update_clock_offset(now, update.entries)
        for entry in update.entries:
            if entry.state is EndpointStatus.GONE:
                self._converted.pop(entry.backend, None)
            elif entry.up_since_ms:
                entry.up_since_ms = self._convert(now, entry)

    def _remove_unlisted(self, entries: Iterable[Endpoint]) -> None:
        listed = {entry.backend for entry in entries}
        for backend in [backend for backend in self._converted if backend not in listed]:
            del self._converted[backend]

    def _update_clock_offset(self, now: float, entries: Iterable[Endpoint]) -> None:
        for entry in entries:
            if entry.up_since_ms and not self._is_converted(entry):
                self._clock_offset_ms = min(
                    self._clock_offset_ms, max(0.0, now - entry.up_since_ms)
                )

    def _is_converted(self, entry: Endpoint) -> bool:
        known = self._converted.get(entry.backend)
        return known is not None and known[0] == entry.up_since_ms

    def _convert(self, now: float, entry: Endpoint) -> float:
        """Return the start time of an entry on this machine's clock, in ms.

        The result is the same each time that the start is listed. A later start of the same backend
        gets a later time, even if the estimate of the offset has changed since.
        """
        if not self._is_converted(entry):
            offset_ms = self._clock_offset_ms if self._clock_offset_ms < inf else 0.0
            start = min(now, entry.up_since_ms + offset_ms)
            previous_reported_ms, previous_start_ms = self._converted.get(entry.backend, (inf, 0.0))
            if entry.up_since_ms > previous_reported_ms:
                start = max(start, previous_start_ms + MIN_START_INTERVAL_MS)
            self._converted[entry.backend] = (entry.up_since_ms, start)
        return self._converted[entry.backend][1]


def _most_started_long_ago(entries: Sequence[Endpoint]) -> bool:
    """Return whether at least half of the entries have no start time, which means long ago."""
    started = sum(1 for entry in entries if entry.up_since_ms)
    return 2 * started <= len(entries)
