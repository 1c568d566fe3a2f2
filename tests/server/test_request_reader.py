"""Parsing of requests from pieces of input, without sockets."""

from __future__ import annotations

import pytest

from sumacpost.errors import RequestError
from sumacpost.http_message import MAX_BODY_BYTES, MAX_HEAD_BYTES
from sumacpost.server.request_reader import MAX_MESSAGE_BYTES, RequestMessage, RequestReader
from tests.support.http_client import request


class RecordingReader(RequestReader):
    """A reader that stores the requests that it has read."""

    def __init__(self) -> None:
        self.messages: list[RequestMessage] = []
        super().__init__(self.messages.append)


@pytest.fixture
def reader() -> RecordingReader:
    return RecordingReader()


@pytest.mark.parametrize("size", [1, 7, 1000])
def test_request_is_read_from_pieces_of_any_size(reader: RecordingReader, size: int) -> None:
    data = request(X_Mixed_Case="Kept")
    for start in range(0, len(data), size):
        reader.feed(data[start : start + size])
    (message,) = reader.messages
    assert message.method == b"POST"
    assert message.target == b"/vat-filing/7?year=3"
    assert (b"x-mixed-case", b"Kept") in message.headers
    assert message.body == b"receipt"
    assert message.keep_alive


def test_pipelined_requests_are_read_in_order(reader: RecordingReader) -> None:
    reader.feed(b"".join(request(path=f"/vat-filing/{number}") for number in range(3)))
    targets = [message.target for message in reader.messages]
    assert targets == [b"/vat-filing/0", b"/vat-filing/1", b"/vat-filing/2"]


def test_chunks_are_joined(reader: RecordingReader) -> None:
    head = request(body="", Content_Length=None, Transfer_Encoding="chunked")
    reader.feed(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
    assert reader.messages[0].body == b"abcde"


@pytest.mark.parametrize("header", ["close", "upgrade"])
def test_no_request_follows_one_that_ends_its_connection(
    reader: RecordingReader, header: str
) -> None:
    reader.feed(request(Connection=header, Upgrade="h2c"))
    assert not reader.messages[0].keep_alive


def test_message_is_partial_from_its_first_byte_to_its_last(reader: RecordingReader) -> None:
    data = request()
    assert not reader.has_partial_message
    reader.feed(data[:1])
    assert reader.has_partial_message
    reader.feed(data[1:-1])
    assert reader.incomplete_bytes == len(data) - 1
    reader.feed(data[-1:])
    assert not reader.has_partial_message
    assert reader.incomplete_bytes == 0


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nX: " + b"x" * MAX_HEAD_BYTES, 431),
        (request(body="", Content_Length="5", Transfer_Encoding="chunked"), 400),
        (request(body="", Content_Length=None, Transfer_Encoding="gzip"), 400),
        (request(body="", Content_Length=str(MAX_BODY_BYTES + 1)), 413),
        (
            request(body="", Content_Length=None, Transfer_Encoding="chunked")
            + b"1;"
            + b"x" * MAX_MESSAGE_BYTES,
            413,
        ),
    ],
    ids=["no HTTP", "long head", "two framings", "unknown coding", "long body", "long framing"],
)
def test_error_contains_the_status_of_the_response(
    reader: RecordingReader, data: bytes, status: int
) -> None:
    with pytest.raises(RequestError) as error:
        reader.feed(data)
    assert error.value.status == status
    assert not reader.messages
