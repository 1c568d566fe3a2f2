"""A process that is started with closed standard streams.

If standard error is closed, a descriptor of the event loop can get its number: log lines are then
written to that descriptor, and the process is aborted when it exits (status 134), because libuv
refuses to close a standard descriptor. A socket with that number would receive the log.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

import pytest

from fleetlab.stand_in import reserve_port
from tests.support.configuration import MINIMAL_CONFIG
from tests.support.event_loop import run, until
from tests.support.http_client import HEALTH_REQUEST, send_once
from tests.support.paths import ROOT
from tests.support.program import end_program


@pytest.mark.parametrize("closed", ["2>&-", "0<&-", "1>&-", "0<&- 1>&- 2>&-"])
def test_a_process_with_closed_streams_serves_and_exits_cleanly(
    closed: str, tmp_path: Path
) -> None:
    async def test() -> None:
        reserved = reserve_port()  # kept bound, so that no other test gets the port
        port = reserved.getsockname()[1]
        config = tmp_path / "config.json"
        config.write_text(json.dumps(MINIMAL_CONFIG | {"listen": f"127.0.0.1:{port}"}))
        process = await asyncio.create_subprocess_exec(
            "sh",
            "-c",
            f'exec "$0" -m sumacpost {closed}',
            sys.executable,
            cwd=ROOT,
            env=os.environ | {"RELAY_CONFIG": str(config)},
        )
        try:
            while (await send_once(port, HEALTH_REQUEST)).status == 0:
                assert process.returncode is None
                await asyncio.sleep(0.05)
            streams = [os.readlink(f"/proc/{process.pid}/fd/{number}") for number in range(3)]
            assert not [name for name in streams if name.startswith(("socket:", "anon_inode:"))]
            process.send_signal(signal.SIGTERM)
            await until(lambda: process.returncode is not None)
            assert process.returncode == 0
        finally:
            await end_program(process)
            reserved.close()

    run(test())
