"""Client connections in the order in which they entered a state."""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Iterator
from itertools import islice
from math import inf
from typing import Generic

from sumacpost.server.connection_protocols import ConnectionType


class ConnectionQueue(Generic[ConnectionType]):
    """A queue of connections in which every operation takes constant time.

    Beside the order by time there is one in which connections are tried when one has to be closed.
    """

    # Ordered dicts: the first key of a plain dict takes the longer to find the more have been
    # removed before it.

    def __init__(self) -> None:
        self._added_at: OrderedDict[ConnectionType, float] = OrderedDict()  # monotonic seconds
        self._candidates: OrderedDict[ConnectionType, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._added_at)

    def __iter__(self) -> Iterator[ConnectionType]:
        return iter(self._added_at)

    def __contains__(self, connection: ConnectionType) -> bool:
        return connection in self._added_at

    def add(self, connection: ConnectionType) -> None:
        """Append the connection; a connection already in the queue moves to the end."""
        if connection in self._added_at:
            self.discard(connection)
        self._added_at[connection] = time.monotonic()
        self._candidates[connection] = None

    def discard(self, connection: ConnectionType) -> None:
        """Remove the connection if it is in the queue."""
        self._added_at.pop(connection, None)
        self._candidates.pop(connection, None)

    def exclude_candidate(self, connection: ConnectionType) -> None:
        """Take a connection out of the candidates, until it is added again; all are at first."""
        self._candidates.pop(connection, None)

    def next_candidates(self, count: int) -> Iterator[ConnectionType]:
        """Yield the next candidates, `count` at most, and move each behind all others.

        So a candidate that may not be closed is not in the way of the others at the next call.
        """
        for connection in list(islice(self._candidates, count)):
            if connection in self._candidates:
                self._candidates.move_to_end(connection)
                yield connection

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
