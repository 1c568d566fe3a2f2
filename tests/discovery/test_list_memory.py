"""What the lists of a discovery agent cost in memory, usable or not."""

from __future__ import annotations

import gc
import weakref

import pytest

from sumacpost.discovery.endpoint_list import EndpointListParser, EndpointListReader
from sumacpost.discovery.incremental_json import IncrementalJsonDecoder, JsonEvent
from sumacpost.errors import EndpointListError
from tests.discovery.faults import INVALID_LIST, SERVER_ERROR
from tests.discovery.lists import encode, full_list, split_into_pieces
from tests.support.event_loop import run, until
from tests.support.ingress import running_ingress
from tests.support.memory import measured_memory
from tests.support.peers import respond, send_bytes

MANY_FIELDS = b"".join(b'"f%d": %d, ' % (number, number) for number in range(100_000))
MAX_HELD_BYTES = 256 * 1024


class Sink:
    """Accepts all events."""

    def send(self, event: JsonEvent) -> None:
        """Ignore the event."""


@pytest.mark.parametrize("document", [b'{"a": 1}', b'{"a":', b"nonsense", b""])
def test_a_decoder_is_freed_however_its_document_ends(document: bytes) -> None:
    # Guards against lists that stay in memory for good once a poll of them has failed.
    sink = Sink()
    freed = weakref.ref(sink)
    try:
        with IncrementalJsonDecoder(sink) as decoder:
            decoder.feed(document)
            decoder.finish()
    except EndpointListError:
        pass
    del sink, decoder
    gc.collect()
    assert freed() is None


@pytest.mark.parametrize("place", [b'"targets": [', b'{"uid"'])
def test_fields_that_are_not_read_are_not_kept(place: bytes) -> None:
    # Guards against objects with any number of unknown fields, which were kept until their end.
    data = encode(full_list(3))
    at = data.index(place) + (1 if place.startswith(b"{") else 0)
    with measured_memory() as held:
        parser = EndpointListReader((), ()).new_parser()
        with IncrementalJsonDecoder(parser) as decoder:
            for piece in split_into_pieces(data[:at] + MANY_FIELDS, 4096):
                decoder.feed(piece)
    assert held.size < MAX_HELD_BYTES
    assert isinstance(parser, EndpointListParser)


@pytest.mark.parametrize(
    ("field", "value"),
    [("pod_group", 10**300), ("pod_group", -(10**300)), ("endpoint", "h" * 1000 + ":80")],
)
def test_a_list_with_values_of_any_length_is_rejected(field: str, value: object) -> None:
    raw = full_list(3)
    raw["targets"][1][field] = value
    with pytest.raises(EndpointListError):
        EndpointListReader((), ()).read(encode(raw))


@pytest.mark.parametrize(
    "response",
    [INVALID_LIST, SERVER_ERROR, b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"rev": '],
    ids=["no list", "an error", "truncated"],
)
def test_failed_polls_leave_nothing_behind(response: bytes) -> None:
    # Guards against an ingress that grows with every poll that fails, by all that it had read.
    async def test() -> None:
        async with running_ingress(
            respond(), discovery=send_bytes(response, close=True)
        ) as ingress:
            await until(lambda: len(ingress.discovery.requests) > 3)
            gc.collect()
            assert len(live_parsers() - parsers_before) <= 1  # of the poll in progress

    parsers_before = live_parsers()  # other tests of the same process may have left some
    run(test())


def live_parsers() -> set[EndpointListParser]:
    return {held for held in gc.get_objects() if isinstance(held, EndpointListParser)}
