"""The command line: invalid options, result files of small runs, and the table of slopes."""

from __future__ import annotations

import os
import re
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from fleetlab.command import main
from fleetlab.results import read_results
from fleetlab.slopes import fit
from tests.fleetlab.support import child_pids, process_exists
from tests.support.paths import ROOT

START_TIMEOUT_S = 30


@pytest.mark.parametrize(
    "arguments",
    [
        [],
        ["sweeep"],
        ["sweep"],
        ["sweep", "--out", "OUT", "--axis", "moons"],
        ["sweep", "--out", "OUT", "--seconds", "0"],
        ["sweep", "--out", "OUT", "--points", "200"],
        ["sweep", "--out", "OUT", "--axis", "backends", "--points", "2,x"],
        ["sweep", "--out", "OUT", "--axis", "backends", "--points", "0"],
        ["sweep", "--out", "OUT", "--axis", "ingresses", "--points", "10,9999999"],
        ["sweep", "--out", str(Path(__file__))],
        ["real", "--out", "OUT", "--backends", "0"],
        ["real", "--out", "OUT", "--mode", "odd"],
        ["real", "--out", "OUT", "--nothing"],
        ["slopes", "OUT"],
    ],
)
def test_invalid_arguments_print_one_line_and_start_nothing(
    arguments: list[str],
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    monkeypatch.setattr(
        "fleetlab.command.run_interruptible", lambda _work: pytest.fail("something was started")
    )
    out = tmp_path / "out"
    assert main([str(out) if argument == "OUT" else argument for argument in arguments]) == 2
    printed = capsys.readouterr()
    assert re.fullmatch(r"fleetlab: [^\n]+\n", printed.err)
    assert printed.out == ""
    assert not out.exists()


def test_slopes_reads_the_results_of_a_small_sweep_on_two_axes(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    out = ["--out", str(tmp_path)]
    for axis, points in (("backends", "3,5,8,13"), ("ingresses", "1,41")):
        bounds = ["--points", points, "--seconds", "0.1", "--seed", "4"]
        assert main(["sweep", *out, "--axis", axis, *bounds]) == 0
    results = read_results(tmp_path)
    assert [(result.axis, result.point) for result in results] == [
        ("backends", 3),
        ("backends", 5),
        ("backends", 8),
        ("backends", 13),
        ("ingresses", 1),
        ("ingresses", 41),
    ]
    for result in results:
        assert result.figures["unheld_share"] == 0
        assert result.seed == 4
        assert result.machine.cores
        assert result.figures["held_mb"] is not None
    verdicts = {slope.figure: slope.verdict for slope in fit(results) if slope.axis == "backends"}
    assert verdicts["unheld_share"] == "met"

    capsys.readouterr()
    assert main(["slopes", str(tmp_path)]) == 0
    table = capsys.readouterr().out
    assert "unheld_share" in table
    assert "met" in table
    assert "ingresses" in table


def test_an_invalid_result_file_prints_one_line_with_its_name(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "x.jsonl").write_text('{"axis": 3}\n')
    assert main(["slopes", str(tmp_path)]) == 2
    assert re.fullmatch(r"fleetlab: \S+x\.jsonl, line 1: [^\n]+\n", capsys.readouterr().err)


def test_pairs_writes_results_for_each_scheme_and_size(tmp_path: Path) -> None:
    assert main(["pairs", "--out", str(tmp_path), "--sizes", "4x8,8x4", "--replacements", "2"]) == 0
    assert sorted((result.axis, result.point) for result in read_results(tmp_path)) == [
        ("pairs-rank", 4),
        ("pairs-rank", 8),
        ("pairs-subset", 4),
        ("pairs-subset", 8),
    ]


@pytest.mark.parametrize("sizes", ["4", "x", "0x9", "9x900000", ",".join(["1x1"] * 65)])
def test_pairs_rejects_invalid_sizes(
    sizes: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    out = tmp_path / "none"
    assert main(["pairs", "--out", str(out), "--sizes", sizes]) == 2
    assert capsys.readouterr().err.count("\n") == 1
    assert not out.exists()


@pytest.mark.parametrize(
    ("arguments", "signum", "processes"),
    [
        (["sweep", "--axis", "ingresses", "--points", "81", "--seconds", "60"], signal.SIGINT, 3),
        (["real", "--backends", "20", "--mode", "silent", "--seconds", "60"], signal.SIGTERM, 1),
    ],
)
def test_an_interrupt_terminates_all_started_processes(
    arguments: list[str], signum: int, processes: int, tmp_path: Path
) -> None:
    """An interrupted run must not leave processes behind; it exits with 128 plus the signal."""
    command = subprocess.Popen(
        [sys.executable, "-m", "fleetlab", *arguments, "--out", str(tmp_path)],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        children = wait_for_children(command.pid, processes)
        assert len(children) == processes
        os.kill(command.pid, signum)
        _, printed = command.communicate(timeout=START_TIMEOUT_S)
    finally:
        command.kill()
    assert command.returncode == 128 + signum
    assert "interrupted" in printed
    assert not [pid for pid in children if process_exists(pid)]


def wait_for_children(pid: int, count: int) -> list[int]:
    """Wait until a process has this many children or the timeout has elapsed; return their ids."""
    end = time.monotonic() + START_TIMEOUT_S
    children = child_pids(pid)
    while len(children) < count and time.monotonic() < end:
        time.sleep(0.02)
        children = child_pids(pid)
    return children
