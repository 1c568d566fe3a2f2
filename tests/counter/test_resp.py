"""The codec of the counter: encoding of calls and decoding of replies."""

from __future__ import annotations

import pytest

from sumacpost.counter.resp import ErrorReply, Reply, ReplyDecoder, TotalReply, encode_addget
from sumacpost.errors import CounterProtocolError

STREAM = b"$3\r\n2.5\r\n-BUSY later\r\n$2\r\n-4\r\n-ERR no such call\r\n"
REPLIES = [
    TotalReply(2.5),
    ErrorReply(b"BUSY later"),
    TotalReply(-4.0),
    ErrorReply(b"ERR no such call"),
]


@pytest.fixture
def decoder() -> ReplyDecoder:
    return ReplyDecoder()


def read_replies(decoder: ReplyDecoder) -> list[Reply]:
    return list(iter(decoder.next_reply, None))


def test_call_is_an_array_of_bulk_strings() -> None:
    data = encode_addget(7, 2.5, 60_000.0)
    assert data == b"*4\r\n$6\r\nADDGET\r\n$1\r\n7\r\n$8\r\n2.500000\r\n$5\r\n60000\r\n"


@pytest.mark.parametrize(("ttl_ms", "written"), [(0.0, b"1"), (0.4, b"1"), (999.6, b"1000")])
def test_time_to_live_is_an_integer_of_at_least_one_millisecond(
    ttl_ms: float, written: bytes
) -> None:
    assert encode_addget(7, 1.0, ttl_ms).endswith(b"$%d\r\n%b\r\n" % (len(written), written))


@pytest.mark.parametrize("size", [1, 2, 3, 7, len(STREAM)])
def test_replies_do_not_depend_on_how_the_bytes_are_split(decoder: ReplyDecoder, size: int) -> None:
    replies: list[Reply] = []
    for start in range(0, len(STREAM), size):
        decoder.receive_data(STREAM[start : start + size])
        replies += read_replies(decoder)
    assert replies == REPLIES
    assert not decoder.has_partial_reply


def test_partial_reply_is_reported_until_it_is_complete(decoder: ReplyDecoder) -> None:
    assert not decoder.has_partial_reply
    decoder.receive_data(b"$1\r")
    assert decoder.next_reply() is None
    assert decoder.has_partial_reply
    decoder.receive_data(b"\n5\r\n")
    assert decoder.next_reply() == TotalReply(5.0)
    assert not decoder.has_partial_reply


def test_only_a_busy_error_is_an_overload() -> None:
    assert ErrorReply(b"BUSY").is_overload
    assert not ErrorReply(b"ERR no such call").is_overload


@pytest.mark.parametrize(
    "data",
    [
        b"?what\r\n",
        b"*1\r\n",
        b"$-1\r\n",
        b"$999999999",
        b"$3\r\nabc\r\n",
        b"$3\r\nnan\r\n",
        b"$3\r\n1_0\r\n",
        b"$2\r\n5\r\n",
        b"$5\r\n1e999\r\n",
        b"$99\r\n" + b"1" * 100,
        b"-OOPS later\r\n",
        b"-BUSYBODY\r\n",
        b"-\xff\xfe\r\n",
        b"-BUSY " + b"x" * 100,
    ],
)
def test_invalid_data_raises_an_error_as_soon_as_it_is_invalid(
    decoder: ReplyDecoder, data: bytes
) -> None:
    decoder.receive_data(b"$1\r\n1\r\n" + data)
    assert decoder.next_reply() == TotalReply(1.0)
    with pytest.raises(CounterProtocolError):
        decoder.next_reply()
