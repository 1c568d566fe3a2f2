"""A backend of the soak that starts again on its port."""

from __future__ import annotations

import asyncio
import socket
from random import Random

from fleetlab.soak.backend import BackendState, SoakBackend
from fleetlab.soak.behaviour import Behaviour, always
from tests.support.event_loop import run


def test_a_restart_waits_until_another_socket_has_left_the_port() -> None:
    # Guards against a run that breaks off where a connection has got the port meanwhile.
    async def test() -> None:
        backend = SoakBackend("s-1", BackendState(always(Behaviour.SERVE)), Random(1), [])
        await backend.start()
        host, _, port = backend.endpoint.partition(":")
        await backend.crash()
        with socket.socket() as other:
            other.bind((host, int(port)))
            restart = asyncio.create_task(backend.restart())
            await asyncio.wait([restart], timeout=0.2)
            assert not restart.done()
        await restart
        assert backend.endpoint == f"{host}:{port}"
        await backend.stop()

    run(test())
