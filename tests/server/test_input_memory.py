"""What the input of a client costs in memory while it is incomplete, or waits to be parsed."""

from __future__ import annotations

import pytest

from sumacpost.errors import RequestError
from sumacpost.http_message import MAX_BODY_BYTES, MAX_FRAMING_BYTES, MAX_HEAD_BYTES, MAX_HEADERS
from sumacpost.server.connection import MAX_PIPELINED
from sumacpost.server.input_buffer import JOIN_WINDOW_S, InputBuffer
from sumacpost.server.request_reader import RequestMessage, RequestReader
from tests.support.event_loop import run, until
from tests.support.http_client import LONG_TIMEOUT, request
from tests.support.ingress import running_ingress
from tests.support.memory import measured_memory
from tests.support.peers import never_respond

HEAD = b"POST /vat-filing/1 HTTP/1.1\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# A head, a body and trailers of the longest permitted lengths, with the overhead of all headers.
MAX_HELD_BYTES = 192 * 1024


def ignore(_message: RequestMessage) -> None:
    pass


def feed_until_refused(reader: RequestReader, data: bytes) -> None:
    """Feed the data as a connection does, in slices, until the reader refuses it."""
    start = 0
    try:
        while start < len(data):
            end = start + reader.slice_bytes
            reader.feed(data[start:end])
            start = end
    except RequestError:
        pass


@pytest.mark.parametrize(
    "data",
    [
        HEAD + b"X:\r\n" * (MAX_HEAD_BYTES // 4),
        HEAD + b"X-A: 1\r\n" * 36_000,
        HEAD + b"X: " + b"x" * 288_000,
        HEAD + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES + b"x" * (MAX_BODY_BYTES - 1),
        CHUNKED + b"2\r\nxx\r\n" * (MAX_BODY_BYTES // 2 - 1),
        CHUNKED + b"1\r\nx\r\n0\r\n" + b"X:\r\n" * 100_000,
        CHUNKED + b"1\r\nx\r\n0\r\nX: " + b"x" * 400_000,
        CHUNKED + b"1;" + b"x" * 400_000,
    ],
    ids=[
        "short headers",
        "headers without end",
        "header without end",
        "body",
        "short chunks",
        "trailers without end",
        "trailer without end",
        "chunk extension without end",
    ],
)
def test_an_incomplete_request_costs_little_more_than_its_permitted_bytes(data: bytes) -> None:
    # Guards against short headers, chunks and trailers that cost 40 times their bytes.
    with measured_memory() as held:
        reader = RequestReader(ignore)
        feed_until_refused(reader, data)
    assert held.size < MAX_HELD_BYTES
    assert reader.held_bytes < MAX_HELD_BYTES


@pytest.mark.parametrize("end", [b"", b"2\r\nxx\r\n" * 100 + b"0\r\n"])
def test_the_stated_memory_of_an_incomplete_request_is_what_it_takes(end: bytes) -> None:
    with measured_memory() as held:
        reader = RequestReader(ignore)
        feed_until_refused(reader, CHUNKED + b"9c40\r\n" + b"x" * 40_000 + b"\r\n" + end)
    assert 0.9 < reader.held_bytes / held.size < 1.2


def test_a_complete_request_leaves_nothing_in_the_reader() -> None:
    # Guards against idle connections that keep the headers and body of their last request.
    reader = RequestReader(ignore)
    feed_until_refused(reader, HEAD + b"Content-Length: 60000\r\n\r\n" + b"x" * 60_000)
    assert not reader.has_partial_message
    assert reader.held_bytes == 0


def test_a_discarded_request_leaves_nothing_in_the_reader_and_nothing_is_added() -> None:
    reader = RequestReader(ignore)
    reader.feed(HEAD + b"X: 1\r\n" * 100)
    reader.discard()
    reader.feed(b"X: 1\r\n" * 100)
    assert reader.held_bytes == 0


def test_a_head_of_the_permitted_number_of_headers_is_read_and_one_more_is_refused() -> None:
    messages: list[RequestMessage] = []
    reader = RequestReader(messages.append)
    reader.feed(HEAD + b"X: 1\r\n" * MAX_HEADERS + b"\r\n")
    assert len(messages[0].headers) == MAX_HEADERS
    with pytest.raises(RequestError, match="head exceeds 256 headers") as error:
        reader.feed(HEAD + b"X: 1\r\n" * (MAX_HEADERS + 1) + b"\r\n")
    assert error.value.status == 431


def test_trailers_of_the_permitted_length_are_read_and_dropped() -> None:
    messages: list[RequestMessage] = []
    reader = RequestReader(messages.append)
    trailers = b"X: 1\r\n" * ((MAX_FRAMING_BYTES - 1024) // 6)
    feed_until_refused(reader, CHUNKED + b"1\r\nx\r\n0\r\n" + trailers + b"\r\n")
    assert [name for name, _ in messages[0].headers] == [b"transfer-encoding"]
    assert messages[0].body == b"x"


def test_single_bytes_that_wait_are_joined() -> None:
    # Guards against input that is sent byte by byte while responses are owed.
    with measured_memory() as held:
        buffer = InputBuffer()
        for number in range(50_000):
            buffer.append(number * 1e-5, b"%c" % (number % 256))
    assert buffer.size == 50_000
    assert held.size < 100_000
    assert held.size / 2 < buffer.held_bytes < 100_000


def test_input_is_taken_in_order_with_the_time_of_its_piece() -> None:
    buffer = InputBuffer()
    buffer.append(1.0, b"ab")
    buffer.append(1.0 + JOIN_WINDOW_S / 2, b"cd")
    buffer.append(1.0 + JOIN_WINDOW_S * 2, b"ef")
    taken = []
    while buffer:
        taken.append((bytes(buffer.take(3)), buffer.received_at))
    assert taken == [(b"abc", 1.0), (b"d", 1.0), (b"ef", 1.0 + JOIN_WINDOW_S * 2)]
    assert buffer.size == 0


def test_requests_that_arrive_together_beyond_the_pipelining_limit_wait_unparsed() -> None:
    # Guards against a limit that is checked only after all requests of a read have been started.
    async def test() -> None:
        async with running_ingress(never_respond) as ingress:
            client = await ingress.client()
            requests = [
                request("vat-filing", number, Request_Timeout=LONG_TIMEOUT) for number in range(100)
            ]
            client.write(b"".join(requests))
            await until(lambda: bool(ingress.server.connections.open))
            (connection,) = ingress.server.connections.open
            await until(lambda: connection._input.size > 0)
            assert MAX_PIPELINED <= len(connection._pending_responses) < 2 * MAX_PIPELINED
            assert connection._input.size > sum(map(len, requests[2 * MAX_PIPELINED :])) - 1

    run(test())
