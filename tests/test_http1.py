"""The HTTP/1.1 response reader with size limits, fed with bytes directly."""

from __future__ import annotations

import pytest

from sumacpost.errors import ResponseError
from sumacpost.http1 import Response, ResponseReader
from sumacpost.http_message import MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_HEADERS
from tests.support.memory import measured_memory

RESPONSE = b"HTTP/1.1 200 OK\r\nX-Part: a\r\nX-Part: b\r\nContent-Length: 4\r\n\r\ndone"


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
TRAILER_LINES = b"".join(b"%x:\r\n" % number for number in range(100_000))
# A head, a body and trailers of the longest permitted lengths, with the overhead of all headers.
MAX_HELD_BYTES = 192 * 1024


@pytest.fixture
def reader() -> ResponseReader:
    return ResponseReader(max_body_bytes=16)


def test_a_response_may_arrive_byte_by_byte(reader: ResponseReader) -> None:
    *first, last = [RESPONSE[n : n + 1] for n in range(len(RESPONSE))]
    assert [reader.feed(byte) for byte in first] == [None] * len(first)
    assert reader.response_started
    headers = {b"x-part": b"a, b", b"content-length": b"4"}
    assert reader.feed(last) == Response(200, headers, b"done", keep_alive=True)
    assert not reader.response_started


def test_bytes_after_a_complete_response_prevent_connection_reuse(
    reader: ResponseReader,
) -> None:
    response = reader.feed(RESPONSE + RESPONSE)
    assert response is not None
    assert response.body == b"done"
    assert not response.keep_alive


def test_the_heads_of_interim_responses_are_bounded_together(reader: ResponseReader) -> None:
    interim = b"HTTP/1.1 100 Continue\r\n\r\n"
    for _ in range(MAX_HEAD_BYTES // len(interim)):
        assert reader.feed(interim) is None
    with pytest.raises(ResponseError, match="response head exceeds"):
        reader.feed(interim)


@pytest.mark.parametrize(
    "response",
    [
        RESPONSE.replace(b"Length: 4", b"Length: 17"),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"11\r\nseventeen letters\r\n0\r\n\r\n",
    ],
)
def test_a_body_above_the_limit_is_an_error(reader: ResponseReader, response: bytes) -> None:
    with pytest.raises(ResponseError, match=r"response body: (Content-Length|exceeds)"):
        reader.feed(response)


UNBOUNDED = b"HTTP/1.1 200 OK\r\nX-Part: a\r\n\r\n"


def test_a_response_without_a_length_ends_with_its_connection(reader: ResponseReader) -> None:
    for piece in (UNBOUNDED, b"do", b"ne"):
        assert reader.feed(piece) is None
    assert reader.response_started
    expected = Response(200, {b"x-part": b"a"}, b"done", keep_alive=False)
    assert reader.feed_eof() == expected
    assert not reader.response_started
    assert reader.feed_eof() is None


@pytest.mark.parametrize(
    "incomplete",
    [
        b"",
        UNBOUNDED[:-2],
        RESPONSE[:-1],
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        RESPONSE,
    ],
)
def test_the_connection_end_completes_no_response_with_another_framing(
    reader: ResponseReader, incomplete: bytes
) -> None:
    reader.feed(incomplete)
    assert reader.feed_eof() is None


def test_a_body_without_a_length_is_bounded(reader: ResponseReader) -> None:
    reader.feed(UNBOUNDED + b"x" * 16)
    with pytest.raises(ResponseError, match="response body: exceeds"):
        reader.feed(b"x")


def test_the_parts_of_a_200_body_are_passed_to_the_callback() -> None:
    pieces: list[bytes] = []
    reader = ResponseReader(max_body_bytes=16, on_body=pieces.append)
    assert reader.feed(RESPONSE[:-2]) is None
    response = reader.feed(RESPONSE[-2:])
    assert response is not None
    assert response.body == b""
    assert pieces == [b"do", b"ne"]


def test_the_body_of_an_error_response_is_not_passed_to_the_callback() -> None:
    pieces: list[bytes] = []
    reader = ResponseReader(max_body_bytes=16, on_body=pieces.append)
    assert reader.feed(RESPONSE.replace(b"200 OK", b"500 NO")) is not None
    assert pieces == []


def test_an_exception_of_the_callback_makes_the_response_invalid() -> None:
    def reject(_: bytes) -> None:
        raise ValueError("not a list")

    reader = ResponseReader(max_body_bytes=16, on_body=reject)
    with pytest.raises(ResponseError, match="not a list"):
        reader.feed(RESPONSE)


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\n" + TRAILER_LINES,
        CHUNKED + b"1\r\nx\r\n" * (MAX_BODY_BYTES - 1),
        CHUNKED + b"1\r\nx\r\n0\r\n" + TRAILER_LINES,
        CHUNKED + b"1\r\nx\r\n0\r\nX: " + b"x" * 500_000,
        CHUNKED + b"1;" + b"x" * 500_000,
    ],
    ids=[
        "headers without end",
        "single-byte chunks",
        "trailers without end",
        "trailer without end",
        "chunk extension without end",
    ],
)
def test_an_incomplete_response_costs_little_more_than_its_permitted_bytes(response: bytes) -> None:
    # Guards against chunks and trailers of backends that cost 40 times their bytes, without end.
    with measured_memory() as held:
        reader = ResponseReader(MAX_BODY_BYTES)
        try:
            for start in range(0, len(response), 65_536):
                assert reader.feed(response[start : start + 65_536]) is None
        except ResponseError as error:
            assert "exceeds" in str(error)  # noqa: PT017
    assert held.size < MAX_HELD_BYTES
    assert reader.held_bytes < MAX_HELD_BYTES


def test_a_complete_response_leaves_nothing_in_the_reader() -> None:
    # Guards against idle connections that keep the body of their last response.
    reader = ResponseReader(MAX_BODY_BYTES)
    body = b"x" * MAX_BODY_BYTES
    response = reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    assert response is not None
    assert response.body == body
    assert response.keep_alive
    assert reader.held_bytes == 0


def test_a_response_has_a_limited_number_of_headers() -> None:
    reader = ResponseReader(MAX_BODY_BYTES)
    with pytest.raises(ResponseError, match="response head exceeds 256 headers"):
        reader.feed(b"HTTP/1.1 200 OK\r\n" + b"X: 1\r\n" * (MAX_HEADERS + 1) + b"\r\n")


def test_an_error_does_not_quote_a_long_header() -> None:
    # Guards against lines of the log that are as long as a backend makes them.
    reader = ResponseReader(MAX_BODY_BYTES)
    with pytest.raises(ResponseError) as error:
        reader.feed(CHUNKED.replace(b"chunked", b"\xff" * 3000))
    assert len(str(error.value)) < 500
