"""A versioned endpoint list as served by discovery: in full, or the changes since a version."""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

MAX_CHANGE_HISTORY = 4_096  # changes kept; a reader of an older version gets the full list

JsonObject = dict[str, object]


@dataclass(frozen=True, slots=True)
class _Change:
    """A change of one entry in one version."""

    version: int
    index: int


def _encode(value: object) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()


class VersionedList:
    """The entries of an endpoint list; an entry is encoded again only when it changes."""

    def __init__(self, entries: Sequence[JsonObject]) -> None:
        self.version = 1
        self._entries = [dict(entry) for entry in entries]
        self._encoded = [_encode(entry) for entry in entries]
        self._changes: deque[_Change] = deque(maxlen=MAX_CHANGE_HISTORY)
        self._full_list: bytes | None = None

    def indexes_at(self, endpoint: str) -> list[int]:
        """Return the indexes of the entries with this endpoint."""
        return [index for index, entry in enumerate(self._entries) if entry["endpoint"] == endpoint]

    def update(self, indexes: Iterable[int], fields: JsonObject) -> None:
        """Create a new version in which these entries have these fields."""
        self.version += 1
        for index in indexes:
            self._entries[index].update(fields)
            self._encoded[index] = _encode(self._entries[index])
            self._changes.append(_Change(self.version, index))
        self._full_list = None

    def encode_changes(self, since: int) -> bytes | None:
        """Return the changes since a version; None if the version is unknown or too old."""
        oldest = self._changes[0].version if len(self._changes) == MAX_CHANGE_HISTORY else 1
        if not oldest <= since <= self.version:
            return None
        # A dictionary, unlike a set, keeps the entries in the order of their changes.
        changed = {change.index: None for change in self._changes if change.version > since}
        return self._encode_list([self._encoded[index] for index in changed], full=False)

    def encode_full(self) -> bytes:
        """Return the full list, without the entries in the state `left`."""
        if self._full_list is None:
            encoded = [
                line
                for entry, line in zip(self._entries, self._encoded, strict=True)
                if entry["state"] != "left"
            ]
            self._full_list = self._encode_list(encoded, full=True)
        return self._full_list

    def encoded_prefix(self, count: int) -> bytes:
        """Return the first entries, comma-separated, including those in the state `left`."""
        return b",".join(self._encoded[:count])

    def _encode_list(self, encoded: Sequence[bytes], *, full: bool) -> bytes:
        head = b'{"rev":%d,"all":%b,"targets":[' % (self.version, b"true" if full else b"false")
        return head + b",".join(encoded) + b"]}"
