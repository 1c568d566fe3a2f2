"""Each fault of the library occurs in a process that loads it, and only if it is requested."""

from __future__ import annotations

import os
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from fleetlab.system_faults.control import SystemFault, SystemFaults
from fleetlab.system_faults.library import MissingCompilerError, build_library, library_environment

# Helpers for the code that triggers each fault in a process. That code prints "fine" if its calls
# succeed, else the name of the error, "short" after an incomplete transfer, or "False".
PROLOGUE = """
import errno, os, select, socket, time
def call_result(call):
    try:
        return call()
    except OSError as error:
        return errno.errorcode[error.errno]
def connected_pair():
    client = socket.create_connection(listener.getsockname())
    return client, listener.accept()[0]
"""
LISTEN = 'listener = socket.create_server(("127.0.0.1", 0));'
ACTIONS = {
    SystemFault.ACCEPT: LISTEN + "client = socket.socket(); client.connect(listener.getsockname());"
    "listener.setblocking(False); print(call_result(lambda: listener.accept() and 'fine'))",
    SystemFault.SOCKET: "print(call_result(lambda: socket.socket() and 'fine'))",
    SystemFault.CONNECT: LISTEN + "s = socket.socket(); s.setblocking(False);"
    "print(call_result(lambda: s.connect_ex(listener.getsockname()) in (0, 115) and 'fine'))",
    SystemFault.SHORT_READ: LISTEN
    + "a, b = connected_pair(); b.sendall(b'x' * 99); time.sleep(0.1);"
    "print('fine' if len(a.recv(99)) == 99 else 'short')",
    SystemFault.SHORT_WRITE: LISTEN
    + "a, b = connected_pair(); print('fine' if a.send(b'x' * 99) == 99 else 'short')",
    SystemFault.BROKEN_CONNECTION: LISTEN + "a, b = connected_pair(); b.send(b'x');"
    "print(call_result(lambda: a.recv(9) and 'fine'))",
    SystemFault.LOG_WRITE: "print(call_result(lambda: os.write(2, b'x') and 'fine'))",
}


@pytest.fixture(scope="module")
def library(tmp_path_factory: pytest.TempPathFactory) -> Path:
    return build_library(tmp_path_factory.mktemp("library"))


@pytest.fixture
def faults(tmp_path: Path) -> Iterator[SystemFaults]:
    created = SystemFaults(tmp_path / "faults")
    yield created
    created.close()


def run_python(library: Path, faults: SystemFaults, code: str) -> str:
    return subprocess.run(
        [sys.executable, "-c", PROLOGUE + code],
        env=os.environ | library_environment(library, faults),
        check=True,
        capture_output=True,
        text=True,
        timeout=30,
    ).stdout.strip()


@pytest.mark.parametrize("fault", ACTIONS)
def test_call_fails_only_while_its_fault_is_requested(
    library: Path, faults: SystemFaults, fault: SystemFault
) -> None:
    """Guards against faults that never occur, and against calls that fail without a fault."""
    assert run_python(library, faults, ACTIONS[fault]) == "fine"
    assert not any(faults.count_failed_calls(kind) for kind in SystemFault)
    faults.set_probability(fault, 1.0)
    assert "fine" not in {run_python(library, faults, ACTIONS[fault]) for _ in range(6)}
    assert faults.count_failed_calls(fault) >= 6


def test_interrupted_wait_is_resumed(library: Path, faults: SystemFaults) -> None:
    """Guards against an EINTR from a wait for events that ends the process."""
    faults.set_probability(SystemFault.WAIT_INTERRUPTED, 0.5)
    code = "p = select.epoll(); [p.poll(0.001) for _ in range(50)]; print('done')"
    assert run_python(library, faults, code) == "done"
    assert faults.count_failed_calls(SystemFault.WAIT_INTERRUPTED)


def test_clock_step_changes_the_wall_clock_only(library: Path, faults: SystemFaults) -> None:
    """Guards against steps that replace earlier ones, or that change the monotonic clock."""
    faults.step_clock(-3600)
    faults.step_clock(5)
    wall, monotonic = run_python(library, faults, "print(time.time(), time.monotonic())").split()
    assert float(wall) - time.time() == pytest.approx(-3595, abs=10)
    assert float(monotonic) == pytest.approx(time.monotonic(), abs=10)


def test_missing_compiler_raises_an_error_with_its_name(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a failed build whose cause, a wrong CC in the environment, is not named."""
    monkeypatch.setenv("CC", "no-such-compiler")
    with pytest.raises(MissingCompilerError, match="no-such-compiler"):
        build_library(tmp_path)
