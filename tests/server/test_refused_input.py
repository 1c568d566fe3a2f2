"""What an ingress still holds after it has refused the input of clients."""

from __future__ import annotations

import gc

import pytest

from sumacpost.server.request_reader import RequestReader
from tests.support.event_loop import run, until
from tests.support.http_client import request
from tests.support.ingress import RunningIngress, running_ingress
from tests.support.peers import respond

REFUSED = 20
MANY_HEADERS = b"".join(b"X-%d: 1\r\n" % number for number in range(20_000))


def live_readers() -> int:
    return sum(1 for held in gc.get_objects() if type(held) is RequestReader)


async def refuse(ingress: RunningIngress, data: bytes) -> None:
    """Send requests on connections of their own until the ingress has refused and closed each."""
    for _ in range(REFUSED):
        assert 400 <= (await ingress.send(data)).status < 500
    await until(lambda: ingress.server.connections.is_empty)


@pytest.mark.parametrize(
    "data",
    [
        b"GET /ledger-read/1 HTTP/1.1\r\n" + MANY_HEADERS,
        b"GET /no-such-class HTTP/1.1\r\nConnection: close\r\n" + b"X: 1\r\n" * 1000 + b"\r\n",
        request("ledger-read", Account="none", Connection="close"),
        b"nonsense\r\n\r\n",
    ],
    ids=["head without end", "unknown class", "invalid header", "no HTTP"],
)
def test_a_refused_request_is_not_kept(data: bytes) -> None:
    # Guards against refused heads that stay in memory with their connections (review/1).
    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            await refuse(ingress, data)
            gc.collect()
            assert live_readers() == 0

    run(test())
