"""The scale run: its stand-ins keep to the protocol, its commands to their bounds, and its lines to the figures."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from fleetlab import pairs, real, sweep
from fleetlab.agent import Agent, Mode
from fleetlab.backends import BackendPool
from fleetlab.children import Children
from fleetlab.clients import OpenLoop, ask
from fleetlab.command import main
from fleetlab.counter import CounterServer
from fleetlab.hollow import HollowIngress, HollowSpec, configs
from fleetlab.measure import PastHalf, check_memory
from fleetlab.plan import MOST, POINTS, SIZES
from fleetlab.results import Machine, Result, read
from fleetlab.site import config_text, entries
from fleetlab.slopes import fit
from sumacpost.config import read_config
from sumacpost.discovery.endpoint_list import EndpointListReader
from sumacpost.discovery.watch import DiscoveryWatch
from sumacpost.model import EndpointListUpdate, EndpointStatus, UpdateKind
from tests.support.event_loop import run, until
from tests.support.paths import ROOT

AT = ("127.0.0.1:9",)


async def whole_answer(reader: asyncio.StreamReader) -> dict[str, Any]:
    head = await reader.readuntil(b"\r\n\r\n")
    length = re.search(rb"Content-Length: (\d+)", head)
    assert head.startswith(b"HTTP/1.1 200") and length is not None
    return json.loads(await reader.readexactly(int(length[1])))


async def connect(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, port = address.split(":")
    return await asyncio.open_connection(host, int(port))


def test_the_agent_gives_the_whole_list_and_then_what_changes() -> None:
    """Guards the protocol page's two kinds of answer, a wait that ends empty, and a watch from too long ago."""

    async def test() -> None:
        agent = Agent(entries(5, AT))
        await agent.start()
        reader, writer = await connect(agent.address)

        async def call(query: str) -> dict[str, Any]:
            writer.write(f"GET /v1/servers{query} HTTP/1.1\r\nHost: d\r\n\r\n".encode())
            return await whole_answer(reader)

        whole = await call("")
        assert whole["all"] and whole["rev"] == agent.rev and whole["targets"] == entries(5, AT)
        assert await call(f"?from={agent.rev}&hold_ms=1") == {
            "rev": agent.rev,
            "all": False,
            "targets": [],
        }
        waiting = asyncio.create_task(call(f"?from={agent.rev}&hold_ms=20000"))
        await until(lambda: agent.watch_calls == 2)
        agent.change([3], state="leaving")
        changed = await waiting
        assert not changed["all"] and changed["rev"] == agent.rev
        assert changed["targets"] == [entries(5, AT)[3] | {"state": "leaving"}]
        agent.change([3], state="left")
        assert [
            t["state"] for t in (await call(f"?from={agent.rev - 1}&hold_ms=9"))["targets"]
        ] == ["left"]
        assert (
            len((await call("?from=999&hold_ms=9"))["targets"]) == 4
        )  # a version that it never had
        assert (agent.whole_calls, agent.watch_calls, agent.whole_lists) == (
            1,
            4,
            2,
        ) and agent.bytes_written > 5 * 100
        writer.close()
        await agent.stop()

    run(test())


@pytest.mark.parametrize("mode", Mode)
def test_an_ingress_believes_the_readable_modes_and_no_other(mode: Mode) -> None:
    """Guards each mode: what is said to be unreadable must be so to the real reader, and it must come again.

    A reader that leaves in the middle of an answer is no error of the agent's.
    """

    async def test() -> None:
        told: list[EndpointListUpdate] = []
        wrong: list[object] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: wrong.append(context)
        )
        agent = Agent(entries(50, AT), mode)
        await agent.start()
        host, port = agent.address.split(":")
        watch = asyncio.create_task(
            DiscoveryWatch(
                (host, int(port)),
                EndpointListReader("abc", ()),
                0,
                lambda update, at: told.append(update),
            ).run()
        )
        if mode is Mode.REFUSING:
            with pytest.raises(ConnectionRefusedError):
                await connect(agent.address)
        else:
            readable = mode in (Mode.GOOD, Mode.INDENTED)
            await until(lambda: agent.watch_calls >= 2 if readable else agent.connections >= 3)
            assert [(u.kind, len(u.entries)) for u in told] == (
                [(UpdateKind.FULL, 50)] if readable else []
            )
        watch.cancel()
        await asyncio.gather(watch, return_exceptions=True)
        await agent.stop()
        assert wrong == []

    run(test())


def test_the_counter_adds_in_order_and_turns_away_what_its_rate_does_not_bear() -> None:
    """Guards totals by name, replies in the order of calls, -BUSY that adds nothing, and -ERR."""

    async def test() -> None:
        counter = CounterServer(rate=10.0, parts=1, line_s=0.25)
        await counter.start()
        reader, writer = await connect(counter.address)

        def call(*words: str) -> bytes:
            return b"*%d\r\n" % len(words) + b"".join(
                b"$%d\r\n%b\r\n" % (len(w), w.encode()) for w in words
            )

        writer.write(
            b"".join(
                [
                    call("ADDGET", "7", "2.5", "4000"),
                    call("ADDGET", "7", "-1", "4000"),
                    call("ADDGET", "8", "1", "4000"),
                    call("PING"),
                    call("SELECT", "0"),
                    call("ADDGET", "8", "1"),
                    call("ADDGET", "x" * 65, "1", "4000"),
                ]
            )
        )
        expected = b"$3\r\n2.5\r\n$3\r\n1.5\r\n-BUSY\r\n+PONG\r\n+OK\r\n-ERR no such call\r\n-ERR no such call\r\n"
        assert await reader.readexactly(len(expected)) == expected
        assert (counter.calls, counter.busy) == (2, 1) and b"8" not in counter.totals
        writer.close()
        await counter.stop()

    run(test())


def test_clients_keep_to_their_schedule_and_backends_count_every_request() -> None:
    """Guards the open loop: each request of the seed's schedule is sent once, answered once and recorded once."""

    async def test() -> None:
        backends = BackendPool(ports=2, work_s=0.01)
        await backends.start()
        clients = [OpenLoop(endpoint, 200.0, seed=3) for endpoint in backends.endpoints]
        await asyncio.gather(*(c.run(0.25) for c in clients))
        first, second = backends.requests.values()
        assert (
            first == second == clients[0].statuses[200] == clients[0].latency.get_total_count() > 20
        )
        assert all(set(c.statuses) == {200} for c in clients)
        stream = await connect(backends.endpoints[0])
        assert (
            await ask(stream, b"GET /r0/1 HTTP/1.1\r\nHost: b\r\n\r\n") == 404
        )  # it carries no id
        stream[1].close()
        await backends.stop()

    run(test())


def test_hollow_ingresses_of_one_process_hold_separate_state() -> None:
    """Guards against a list, a quota or a count that one ingress would take from its neighbour."""

    async def test() -> None:
        spec = HollowSpec(ingresses=2, gateways=6, discovery="127.0.0.1:9", burst=6.0, seed=1)
        one, other = (HollowIngress(config) for config in configs(spec))
        update, endpoints = EndpointListReader("abc", ()).read(
            json.dumps({"rev": 4, "all": True, "targets": entries(9, AT)}).encode()
        )
        one.fleet(update, endpoints)
        assert (len(one.endpoints), len(other.endpoints), one.version, other.version) == (
            9,
            0,
            4,
            0,
        )
        for _ in range(4):
            one.arrive(5, 0)
        assert (one.sent, one.refused) == (2, 2)  # its third of the burst
        other.fleet(update, endpoints)
        other.arrive(5, 0)
        assert (other.arrived, other.sent, other.refused) == (1, 1, 0)
        gone = [e for e in update.entries if e.backend != update.entries[0].backend]
        for entry in gone:
            entry.state = EndpointStatus.GONE
        one.fleet(EndpointListUpdate(UpdateKind.CHANGES, gone, 5), {})
        assert (len(one.endpoints), len(other.endpoints)) == (1, 9)

    run(test())


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
def test_a_bad_option_is_one_line_and_starts_nothing(
    arguments: list[str], tmp_path: Path, monkeypatch: Any, capsys: Any
) -> None:
    """Guards the exit code, the plain line, and that no process, port or folder is there afterwards."""
    monkeypatch.setattr(
        "fleetlab.command.bounded", lambda work: pytest.fail("something was started")
    )
    out = tmp_path / "out"
    assert main([str(out) if a == "OUT" else a for a in arguments]) == 2
    said = capsys.readouterr()
    assert re.fullmatch(r"fleetlab: [^\n]+\n", said.err) and said.out == "" and not out.exists()


def test_a_size_past_half_of_the_memory_is_refused() -> None:
    """Guards the machine: nothing is started for a point that can't fit."""
    with pytest.raises(PastHalf):
        check_memory([], 1e9)


def test_a_small_sweep_on_two_axes_writes_results_that_slopes_reads(
    tmp_path: Path, capsys: Any
) -> None:
    """Guards the way from hollow processes by result files to the table."""
    for axis, points in (("backends", "3,5,8,13"), ("ingresses", "1,41")):
        assert (
            main(
                [
                    "sweep",
                    "--out",
                    str(tmp_path),
                    "--axis",
                    axis,
                    "--points",
                    points,
                    "--seconds",
                    "0.1",
                    "--seed",
                    "4",
                ]
            )
            == 0
        )
    results = read(tmp_path)
    assert [(r.axis, r.point) for r in results] == [
        ("backends", 3),
        ("backends", 5),
        ("backends", 8),
        ("backends", 13),
        ("ingresses", 1),
        ("ingresses", 41),
    ]
    assert all(r.figures["unheld_share"] == 0 and r.seed == 4 and r.machine.cores for r in results)
    assert all(r.figures["held_mb"] is not None for r in results)
    assert {s.figure: s.verdict for s in fit(results) if s.axis == "backends"}[
        "unheld_share"
    ] == "met"
    capsys.readouterr()
    assert main(["slopes", str(tmp_path)]) == 0
    table = capsys.readouterr().out
    assert "unheld_share" in table and "met" in table and "ingresses" in table


def results(axis: str, figure: str, values: dict[int, float | None]) -> list[Result]:
    return [
        Result("sweep", axis, x, 0, {figure: y}, "", Machine(1, 1, "")) for x, y in values.items()
    ]


@pytest.mark.parametrize(
    ("figure", "values", "verdict"),
    [
        ("held_mb", {200: 1.2, 2000: 3.0, 10_000: 11.0, 20_000: 21.0}, "missed"),
        ("held_mb", {200: 1.0002, 2000: 1.002, 10_000: 1.01, 20_000: 1.02}, "met"),
        ("held_mb", {200: 1.2, 2000: 3.0, 10_000: 11.0}, "not known"),  # too few points
        (
            "held_mb",
            {200: 1.0, 2000: 1.0, 10_000: 1.0, 20_000: 1.0, 50_000: None},
            "not known",
        ),  # one has no value
        (
            "held_mb",
            {200: 1.0, 2000: 9.0, 10_000: 19.0, 20_000: 33.0, 50_000: None},
            "missed",
        ),  # by a measured point
        (
            "held_mb",
            {200: 20.0, 2000: 20.0, 10_000: 19.0, 20_000: 1.0},
            "met",
        ),  # falls below nought: the greatest holds
        (
            "held_mb",
            {200: 31.0, 2000: 27.0, 10_000: 31.0, 20_000: 27.0},
            "not known",
        ),  # the limit is as far as points stray
        ("rss_mb", {200: 1.2, 2000: 3.0, 10_000: 11.0, 20_000: 21.0}, "not known"),  # no limit
        ("unheld_share", {200: 0.0, 2000: 0.0, 10_000: 0.0, 50_000: 1.0}, "missed"),
        ("unheld_share", {200: 0.0, 2000: 1.0, 10_000: 0.0, 20_000: 0.0, 99_000: 0.0}, "missed"),
    ],
)
def test_a_verdict_needs_points_and_a_limit(
    figure: str, values: dict[int, float | None], verdict: str
) -> None:
    """Guards against a line that promises more than was measured."""
    assert [s.verdict for s in fit(results("backends", figure, values))] == [verdict]


def test_a_known_slope_is_found() -> None:
    """Guards the fit: 1 MB and 1 KB an entry, one point 0.5 MB off the line, and how far the plan's size lies."""
    (slope,) = fit(
        results("backends", "held_mb", {x: 1 + x / 1000 for x in (200, 2000, 10_000, 19_800)})
    )
    assert (slope.points, slope.unmeasured, slope.verdict) == (4, 0, "missed")
    assert slope.slope == pytest.approx(0.001) and slope.intercept == pytest.approx(1.0)
    assert slope.at_plan == pytest.approx(100.0) and slope.beyond == pytest.approx(5.0)
    assert slope.worst_residual == pytest.approx(0.0, abs=1e-9)
    (bent,) = fit(results("backends", "held_mb", {0: 0.0, 10: 1.0, 20: 0.0, 30: 1.0}))
    assert bent.worst_residual == pytest.approx(0.6)


def test_a_file_that_holds_no_results_is_one_line(tmp_path: Path, capsys: Any) -> None:
    """Guards the reader: file and line are named."""
    (tmp_path / "x.jsonl").write_text('{"axis": 3}\n')
    assert main(["slopes", str(tmp_path)]) == 2
    assert re.fullmatch(r"fleetlab: \S+x\.jsonl, line 1: [^\n]+\n", capsys.readouterr().err)


@pytest.mark.parametrize("mode", [Mode.GOOD, Mode.NOT_A_LIST])
def test_a_real_ingress_is_played_or_said_to_be_never_ready(mode: Mode, monkeypatch: Any) -> None:
    """Guards the whole way through a real process, and that an unreadable list ends in figures and no exception."""
    monkeypatch.setattr(real, "LEAVING_S", 1.5)
    figures = asyncio.run(real.play(20, mode, 0.5, 1, rate=50.0))
    if mode is Mode.GOOD:
        assert figures["served"] and figures["leaving_entries"] == 1
        assert figures["requests"] == figures["served"] + figures["refused"] + figures["unanswered"]
    else:
        assert figures["ready_s"] is None and "requests" not in figures
    assert figures["healthz_worst_ms"] is not None and figures["agent_bytes_per_min"]


def children_of(pid: int) -> list[int]:
    return [int(p) for p in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]


@pytest.mark.parametrize(
    ("arguments", "signum", "processes"),
    [
        (["sweep", "--axis", "ingresses", "--points", "81", "--seconds", "60"], signal.SIGINT, 3),
        (["real", "--backends", "20", "--mode", "silent", "--seconds", "60"], signal.SIGTERM, 1),
    ],
)
def test_an_interrupt_ends_all_that_was_started(
    arguments: list[str], signum: int, processes: int, tmp_path: Path
) -> None:
    """Guards the machine after a run that is cut short: no process is left, and the exit code tells."""
    command = subprocess.Popen(
        [sys.executable, "-m", "fleetlab", *arguments, "--out", str(tmp_path)],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        end = time.monotonic() + 30
        while len(started := children_of(command.pid)) < processes and time.monotonic() < end:
            time.sleep(0.02)
        assert len(started) == processes
        os.kill(command.pid, signum)
        _, said = command.communicate(timeout=30)
    finally:
        command.kill()
    assert command.returncode == 128 + signum and "interrupted" in said
    assert not [pid for pid in started if Path(f"/proc/{pid}").exists()]


def test_an_interrupt_while_a_process_is_being_started_leaves_none() -> None:
    """Guards the moment between a process's beginning and its being known; an interrupted run left one under load."""

    async def test() -> None:
        before, children = children_of(os.getpid()), Children()
        starting = asyncio.create_task(children.start("fleetlab.hollow"))
        await asyncio.sleep(0)
        starting.cancel()
        await asyncio.wait([starting])
        assert starting.cancelled() and len(children.pids) == 1
        await children.end()
        assert children_of(os.getpid()) == before

    run(test())


def test_children_that_ignore_their_end_are_killed(monkeypatch: Any) -> None:
    """Guards against a process that SIGTERM does not end; here it stands still."""
    monkeypatch.setattr("fleetlab.children.END_S", 0.1)

    async def test() -> None:
        children = Children()
        child = await children.start("fleetlab.hollow")
        os.kill(child.pid, signal.SIGSTOP)
        await children.end()
        assert not Path(f"/proc/{child.pid}").exists() and children.pids == []

    asyncio.run(asyncio.wait_for(test(), 30))


def test_every_axis_has_points_and_makes_a_configuration_that_can_be_used() -> None:
    """Guards the tables of the plan against an axis that only one of them knows."""
    for axis, points in POINTS.items():
        assert len(points) >= 4 and max(points) <= MOST[axis] and axis in SIZES
        played = sweep.point(axis, points[0])
        config = read_config(
            config_text(index=0, gateways=9, discovery=AT[0], classes=played.classes)
        )
        assert len(config.settings.classes) == played.classes


def test_the_ingress_does_not_know_of_its_lab() -> None:
    """Guards the program that is served: nothing in it needs the lab or its libraries."""
    for path in ROOT.glob("sumacpost/**/*.py"):
        assert not re.search(r"fleetlab|numpy|msgspec|hdrh|click|\brich\b", path.read_text()), path


# ---- the model of pairs


def test_the_model_of_pairs_knows_what_was_and_what_is() -> None:
    """Counts by hand: four gateways before eight backends keep to six each by rank, and every backend has three."""
    rank = pairs.measure("rank", 4, 8)
    assert (rank.users_least, rank.users_most, rank.kept_least, rank.kept_most) == (3, 3, 6, 6)
    was, now = (pairs.measure(scheme, 200, 200, replacements=5) for scheme in pairs.SCHEMES)
    assert now.users_least >= 3 and now.new_pairs_mean < was.new_pairs_mean / 2
    parted = pairs.measure("subset", 200, 3000, replacements=1)
    assert parted.users_least >= 3 and pairs.BySubset(200, 3000).partition_count == 4
    with pytest.raises(ValueError, match="rank, subset"):
        pairs.measure("ring", 4, 8)


def test_pairs_writes_results_and_refuses_sizes_that_make_no_sense(
    tmp_path: Path, capsys: Any
) -> None:
    assert main(["pairs", "--out", str(tmp_path), "--sizes", "4x8,8x4", "--replacements", "2"]) == 0
    found = read(tmp_path)
    assert sorted((r.axis, r.point) for r in found) == [
        ("pairs-rank", 4),
        ("pairs-rank", 8),
        ("pairs-subset", 4),
        ("pairs-subset", 8),
    ]
    capsys.readouterr()
    for sizes in ("4", "x", "0x9", "9x900000", ",".join(["1x1"] * 65)):
        assert main(["pairs", "--out", str(tmp_path / "none"), "--sizes", sizes]) == 2
        assert capsys.readouterr().err.count("\n") == 1
    assert not (tmp_path / "none").exists()
