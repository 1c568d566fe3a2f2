"""JSON decoded in pieces, so that a long document is never held as a whole."""

from __future__ import annotations

from typing import Any, Protocol

import ijson  # type: ignore[import-untyped]

from sumacpost.errors import EndpointListError

MAX_BYTES_WITHOUT_EVENT = 64 * 1024  # no valid list has a string or white space of this length

JsonEvent = tuple[str, Any]
"""An event of ijson: its name ("start_map", "map_key", "number" ...) and its value."""


class JsonSink(Protocol):
    """Takes the events of a JSON document, in their order."""

    def send(self, event: JsonEvent) -> None:
        """Take the next event."""


class IncrementalJsonDecoder:
    """A JSON decoder that is fed pieces of a document and hands its events to a sink.

    What the sink raises passes through feed and finish.
    """

    def __init__(self, sink: JsonSink) -> None:
        self._sink = sink
        self._decoder = ijson.basic_parse_coro(self, use_float=True)
        self._bytes_since_event = 0  # since the last event
        self.total_bytes = 0  # bytes so far

    def send(self, event: JsonEvent) -> None:
        """Pass on an event; called by the decoder."""
        self._bytes_since_event = 0
        self._sink.send(event)

    def feed(self, data: bytes) -> None:
        """Decode the next piece; of it, only a value that it breaks off in is held.

        Raise EndpointListError if it doesn't continue a JSON document.
        """
        self.total_bytes += len(data)
        self._bytes_since_event += len(data)
        try:
            self._decoder.send(data)
        except ijson.JSONError as error:
            raise _not_json(error) from error
        if self._bytes_since_event > MAX_BYTES_WITHOUT_EVENT:
            raise EndpointListError(f"no value in {self._bytes_since_event} bytes")

    def finish(self) -> None:
        """End the document; raise EndpointListError if it is incomplete."""
        try:
            self._decoder.send(b"")
        except StopIteration:
            pass
        except ijson.JSONError as error:
            raise _not_json(error) from error
        finally:
            self._decoder = None  # it refers back to this object


def _not_json(error: ijson.JSONError) -> EndpointListError:
    return EndpointListError(" ".join(str(error).split()))
