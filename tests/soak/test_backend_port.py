"""A backend of the soak that starts again on its port."""

from __future__ import annotations

import asyncio
import socket
from random import Random

import pytest

from fleetlab.soak.backend import BackendState, SoakBackend
from fleetlab.soak.behaviour import Behaviour, always
from tests.support.event_loop import run


def test_a_crashed_backend_keeps_its_port_and_refuses_connections() -> None:
    # Guards against a run that breaks off where a connection has got the port meanwhile.
    async def test() -> None:
        backend = SoakBackend("s-1", BackendState(always(Behaviour.SERVE)), Random(1), [])
        await backend.start()
        host, _, port = backend.endpoint.partition(":")
        await backend.crash()
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind((host, int(port)))
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(host, int(port))
        await backend.restart()
        assert backend.endpoint == f"{host}:{port}"
        _, writer = await asyncio.open_connection(host, int(port))
        writer.close()
        await backend.stop()

    run(test())
