"""The HTTP/1.1 response reader with size limits, fed with bytes directly."""

from __future__ import annotations

import pytest

from sumacpost.errors import ResponseError
from sumacpost.http1 import MAX_HEAD_BYTES, Response, ResponseReader

RESPONSE = b"HTTP/1.1 200 OK\r\nX-Part: a\r\nX-Part: b\r\nContent-Length: 4\r\n\r\ndone"


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
