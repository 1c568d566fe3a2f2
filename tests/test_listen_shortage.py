"""A temporary shortage of descriptors or memory at startup must not end the process.

During a shortage that lasted for 3 s, a process exited at startup with status 1: "can't serve:
[Errno 23] Too many open files in system".
"""

from __future__ import annotations

import asyncio
import errno
import json
import os
import socket
from typing import Any

import pytest

from sumacpost.config import Config, read_config
from sumacpost.service import serve
from tests.support.configuration import MINIMAL_CONFIG
from tests.support.event_loop import run, until
from tests.support.http_client import request
from tests.support.ingress import running_ingress
from tests.support.peers import respond


def fail_to_listen(monkeypatch: pytest.MonkeyPatch, error: int, times: int) -> list[int]:
    """Make listening fail `times` times; return a list that collects the errors raised."""
    raised_errors: list[int] = []
    create_server = socket.create_server

    def create(*args: Any, **options: Any) -> socket.socket:
        if len(raised_errors) < times:
            raised_errors.append(error)
            raise OSError(error, os.strerror(error))
        return create_server(*args, **options)

    monkeypatch.setattr(socket, "create_server", create)
    return raised_errors


@pytest.mark.parametrize("error", [errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM])
def test_listening_is_retried_during_a_resource_shortage(
    monkeypatch: pytest.MonkeyPatch, error: int
) -> None:
    async def test() -> None:
        raised_errors = fail_to_listen(monkeypatch, error, 3)
        async with running_ingress(respond()) as ingress:
            assert raised_errors == [error] * 3
            assert (await ingress.send(request())).status == 200

    run(test())


def test_an_unusable_address_fails_without_a_retry(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        raised_errors = fail_to_listen(monkeypatch, errno.EADDRINUSE, 2)
        with pytest.raises(OSError, match="in use"):
            await serve(minimal_config(), asyncio.Event())
        assert len(raised_errors) == 1

    run(test())


def test_a_stop_request_ends_the_retries_of_listening(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        raised_errors = fail_to_listen(monkeypatch, errno.ENFILE, 10_000)
        starting = asyncio.create_task(start_and_stop(raised_errors))
        await asyncio.wait_for(starting, 10)

    run(test())


async def start_and_stop(raised_errors: list[int]) -> None:
    """Start an ingress that can't listen, and stop it after the second failure."""
    stop = asyncio.Event()
    serving = asyncio.create_task(serve(minimal_config(), stop))
    await until(lambda: len(raised_errors) > 1)
    stop.set()
    await serving


def minimal_config() -> Config:
    """Return a minimal configuration with which an ingress starts."""
    return read_config(json.dumps(MINIMAL_CONFIG))
