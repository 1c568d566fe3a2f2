"""Client connections in the order in which they entered a state."""

from __future__ import annotations

import time
from collections.abc import Iterator
from math import inf
from typing import Generic

from sumacpost.server.connection_protocols import ConnectionType


class ConnectionQueue(Generic[ConnectionType]):
    """A queue of connections that adds, finds and removes a connection in constant time."""

    def __init__(self) -> None:
        self._added_at: dict[ConnectionType, float] = {}  # monotonic seconds; oldest first

    def __len__(self) -> int:
        return len(self._added_at)

    def __iter__(self) -> Iterator[ConnectionType]:
        return iter(self._added_at)

    def __contains__(self, connection: ConnectionType) -> bool:
        return connection in self._added_at

    def add(self, connection: ConnectionType) -> None:
        """Append the connection; a connection already in the queue moves to the end."""
        # Without the removal, setting an existing key would keep its position in the dict.
        self._added_at.pop(connection, None)
        self._added_at[connection] = time.monotonic()

    def discard(self, connection: ConnectionType) -> None:
        """Remove the connection if it is in the queue."""
        self._added_at.pop(connection, None)

    def added_before(self, connection: ConnectionType, before: float) -> bool:
        """Return whether a connection in the queue was added before a time.

        Raise KeyError if the connection is not in the queue. before: in monotonic seconds.
        """
        return self._added_at[connection] < before

    def oldest(self, before: float = inf) -> ConnectionType | None:
        """Return the connection added first, or None if none was added before a time.

        before: in monotonic seconds.
        """
        for connection, added_at in self._added_at.items():
            return connection if added_at < before else None
        return None
