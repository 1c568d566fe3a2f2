"""Incremental JSON decoding, which never keeps a whole document in memory."""

from __future__ import annotations

from typing import Any, Protocol, Self

import ijson  # type: ignore[import-untyped]

from sumacpost.errors import EndpointListError

MAX_BYTES_WITHOUT_EVENT = 64 * 1024  # more than any string or white space in a valid list

JsonEvent = tuple[str, Any]
"""An event of ijson: its name ("start_map", "map_key", "number" ...) and its value."""


class JsonSink(Protocol):
    """Receives the events of a JSON document, in order."""

    def send(self, event: JsonEvent) -> None:
        """Process the next event."""


class IncrementalJsonDecoder:
    """A JSON decoder that receives a document in pieces and passes its events to a sink.

    Exceptions that the sink raises propagate through feed and finish. Use the decoder as a context
    manager, or call close: otherwise it is never freed, nor is the sink.

    Attributes:
        total_bytes: bytes of the document received so far.
    """

    def __init__(self, sink: JsonSink) -> None:
        self._sink = sink
        self._decoder = ijson.basic_parse_coro(self, use_float=True)
        self._bytes_since_event = 0
        self.total_bytes = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Drop the decoder of ijson; has no effect if it is closed already."""
        # The decoder refers to this object, and the garbage collector can't break the cycle, as it
        # does not see through the types of ijson.
        self._decoder = None

    def send(self, event: JsonEvent) -> None:
        """Pass an event to the sink; called by ijson."""
        self._bytes_since_event = 0
        self._sink.send(event)

    def feed(self, data: bytes) -> None:
        """Decode the next piece; only an incomplete value at its end is kept in memory.

        Raise EndpointListError if the piece doesn't continue a valid JSON document.
        """
        self.total_bytes += len(data)
        self._bytes_since_event += len(data)
        try:
            self._decoder.send(data)
        except ijson.JSONError as error:
            raise _not_json(error) from error
        if self._bytes_since_event > MAX_BYTES_WITHOUT_EVENT:
            raise EndpointListError(f"no JSON event in {self._bytes_since_event} bytes")

    def finish(self) -> None:
        """End the document; raise EndpointListError if it is incomplete."""
        try:
            self._decoder.send(b"")
        except StopIteration:
            pass
        except ijson.JSONError as error:
            raise _not_json(error) from error
        finally:
            self.close()


def _not_json(error: ijson.JSONError) -> EndpointListError:
    return EndpointListError(" ".join(str(error).split()))
