"""JSON decoded in pieces, so that a long document is never held as a whole."""

from __future__ import annotations

from typing import Any, Protocol

import ijson  # type: ignore[import-untyped]

from sumacpost.errors import EndpointListError

MAX_SILENT_BYTES = 64 * 1024  # without an event: no list has so long a text or so much space

JsonEvent = tuple[str, Any]
"""An event of ijson: its name ("start_map", "map_key", "number" ...) and its value."""


class JsonSink(Protocol):
    """Takes the events of a JSON document, in their order."""

    def send(self, event: JsonEvent) -> None:
        """Take the next event."""


class IncrementalJson:
    """A JSON decoder that is fed pieces of a document and hands its events to a sink.

    What the sink raises passes through feed and finish.
    """

    def __init__(self, sink: JsonSink) -> None:
        self._sink = sink
        self._decoder = ijson.basic_parse_coro(self, use_float=True)
        self._silent_bytes = 0  # since the last event
        self.size = 0  # bytes so far

    def send(self, event: JsonEvent) -> None:
        """Pass on an event; called by the decoder."""
        self._silent_bytes = 0
        self._sink.send(event)

    def feed(self, data: bytes) -> None:
        """Decode the next piece; of it, only a value that it breaks off in is held.

        Raise EndpointListError if it doesn't continue a JSON document.
        """
        self.size += len(data)
        self._silent_bytes += len(data)
        try:
            self._decoder.send(data)
        except ijson.JSONError as error:
            raise _not_json(error) from error
        if self._silent_bytes > MAX_SILENT_BYTES:
            raise EndpointListError(f"no value in {self._silent_bytes} bytes")

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
