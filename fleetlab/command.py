"""The command line: sweep, real, pairs and slopes."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Coroutine, Sequence
from pathlib import Path
from typing import Any

import click
import uvloop
from rich.console import Console
from rich.table import Table

from fleetlab import pairs as fleet_pairs
from fleetlab import real as real_ingress
from fleetlab import sweep as sizes
from fleetlab.agent import Mode
from fleetlab.measure import PastHalf
from fleetlab.plan import INGRESSES, MOST, POINTS, REQUESTS_PER_S
from fleetlab.results import BadResult, Figures, Result, append, read, this_commit, this_machine
from fleetlab.slopes import Slope, fit

MOST_SECONDS = 600.0
MOST_POINTS = 64


class Interrupted(Exception):
    """SIGINT or SIGTERM has come; all that was started has been ended."""

    def __init__(self, signum: int) -> None:
        self.signum = signum


def bounded(work: Coroutine[Any, Any, Figures]) -> Figures:
    """Run to the end; at SIGINT or SIGTERM the work is cancelled, cleans up, and Interrupted is raised."""
    caught: list[int] = []

    async def main() -> Figures:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        assert task is not None

        def interrupt(signum: int) -> None:
            if not caught:  # a second one must not cut the ending of processes short
                caught.append(signum)
                task.cancel()

        for signum in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(signum, interrupt, signum)
        return await work

    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(main())
    except asyncio.CancelledError:
        raise Interrupted(caught[0] if caught else signal.SIGINT) from None


def _points(
    context: click.Context, parameter: click.Parameter, text: str | None
) -> tuple[int, ...]:
    if text is None:
        return ()
    try:
        points = tuple(int(word) for word in text.split(","))
    except ValueError:
        raise click.BadParameter(f"{text!r} is not a list of whole numbers") from None
    if len(points) > MOST_POINTS or any(p < 0 for p in points):
        raise click.BadParameter(f"{text!r} has a negative size, or more than {MOST_POINTS}")
    return points


def _folder(context: click.Context, parameter: click.Parameter, path: Path) -> Path:
    if path.exists() and not path.is_dir():
        raise click.BadParameter(f"{str(path)!r} is not a folder")
    return path


SECONDS = click.FloatRange(0, MOST_SECONDS, min_open=True)
OUT = click.option(
    "--out",
    required=True,
    type=click.Path(path_type=Path),
    callback=_folder,
    help="Folder of the result files; made if need be.",
)
SEED = click.option(
    "--seed", default=0, type=click.IntRange(0, 2**31), help="Of lists and requests."
)


@click.group(no_args_is_help=False)
def cli() -> None:
    """A scale run: play sizes, fit slopes, and say what they mean at the plan's size."""


@cli.command()
@OUT
@click.option(
    "--axis", "axes", multiple=True, type=click.Choice(list(POINTS)), help="All, if none is named."
)
@click.option("--points", callback=_points, help="Sizes, with commas between; needs one --axis.")
@click.option("--seconds", default=5.0, type=SECONDS, help="Measured at each point.")
@SEED
def sweep(
    out: Path, axes: tuple[str, ...], points: tuple[int, ...], seconds: float, seed: int
) -> None:
    """Play a grid of sizes with hollow ingresses; every result is written as soon as it is there."""
    if points and len(axes) != 1:
        raise click.UsageError("--points needs one --axis")
    grid = [(axis, size) for axis in (axes or POINTS) for size in (points or POINTS[axis])]
    for axis, size in grid:
        if size > MOST[axis] or (size < 1 and axis != "changes"):
            raise click.UsageError(f"--points: {size} {axis} is not between 1 and {MOST[axis]}")
    out.mkdir(parents=True, exist_ok=True)
    commit, machine, console = this_commit(), this_machine(), Console(stderr=True)
    for axis, size in grid:
        note, figures = "", {}
        try:
            figures = bounded(sizes.play(axis, size, seconds, seed))
        except PastHalf as error:
            note = str(error)
        append(
            out / f"{axis}.jsonl", Result("sweep", axis, size, seed, figures, commit, machine, note)
        )
        shown = {name: round(value, 3) for name, value in figures.items() if value is not None}
        console.print(f"{axis} {size}: {note or shown}", highlight=False, soft_wrap=True)


@cli.command()
@OUT
@click.option(
    "--backends", default=200, type=click.IntRange(1, MOST["backends"]), help="Listed by discovery."
)
@click.option(
    "--mode",
    default=Mode.GOOD.value,
    type=click.Choice([mode.value for mode in Mode]),
    help="How discovery answers.",
)
@click.option(
    "--seconds", default=10.0, type=SECONDS, help="To get ready in, and of requests then."
)
@click.option(
    "--known", default=0, type=click.IntRange(0, MOST["backends"]), help="Listed in its file."
)
@click.option("--index", default=0, type=click.IntRange(0, INGRESSES - 1), help="Of the ingress.")
@click.option(
    "--rate",
    default=REQUESTS_PER_S / INGRESSES,
    type=click.FloatRange(1, 2000),
    help="Requests a second.",
)
@click.option(
    "--changes", default=1.0, type=click.FloatRange(0, 1000), help="Changes of the list, a second."
)
@SEED
def real(
    out: Path,
    backends: int,
    mode: str,
    seconds: float,
    known: int,
    index: int,
    rate: float,
    changes: float,
    seed: int,
) -> None:
    """Play one real ingress before stand-ins, and measure it from outside."""
    out.mkdir(parents=True, exist_ok=True)
    console, note, figures = Console(stderr=True), "", {}
    try:
        figures = bounded(
            real_ingress.compare(
                backends,
                Mode(mode),
                seconds,
                seed,
                index=index,
                known=known,
                rate=rate,
                changes_per_s=changes,
            )
        )
        if figures["ready_s"] is None:
            note = f"never ready within {seconds:g} s"
    except (PastHalf, RuntimeError, TimeoutError) as error:
        note = str(error) or "the ingress did not serve in time"
    axis = "real" if mode == Mode.GOOD.value else f"real-{mode}"
    result = Result("real", axis, backends, seed, figures, this_commit(), this_machine(), note)
    append(out / f"{axis}.jsonl", result)
    if note:
        console.print(note, highlight=False, soft_wrap=True)
    table = Table("figure", "value", title=f"one ingress, {backends} backends listed, {mode}")
    for name, value in figures.items():
        table.add_row(name, "-" if value is None else f"{value:,.3f}")
    Console().print(table)


@cli.command()
@OUT
@click.option(
    "--sizes",
    "text",
    default=",".join(f"{g}x{b}" for g, b in fleet_pairs.SIZES),
    help="Gateways x backends, with commas between.",
)
@click.option(
    "--replacements", default=10, type=click.IntRange(1, 1000), help="Backends replaced in turn."
)
@SEED
def pairs(out: Path, text: str, replacements: int, seed: int) -> None:
    """Model which gateways keep to which backends: by rank, as it was, and by subset, as it is."""
    try:
        played = [(int(g), int(b)) for g, _, b in (size.partition("x") for size in text.split(","))]
    except ValueError:
        raise click.UsageError(f"--sizes: {text!r} is not gateways x backends") from None
    if len(played) > MOST_POINTS or any(
        not 1 <= g <= 20_000 or not 1 <= b <= 200_000 for g, b in played
    ):
        raise click.UsageError(f"--sizes: {text!r} has a size that is too large, or none")
    out.mkdir(parents=True, exist_ok=True)
    commit, machine = this_commit(), this_machine()
    names = fleet_pairs.PairFigures.__struct_fields__
    table = Table(*(name.replace("_", " ") for name in names), title=f"seed {seed}")
    for gateways, backends in played:
        for scheme in fleet_pairs.SCHEMES:
            found = fleet_pairs.measure(scheme, gateways, backends, seed, replacements)
            figures: Figures = {
                name: float(getattr(found, name)) for name in names if name != "scheme"
            }
            append(
                out / f"pairs-{scheme}.jsonl",
                Result("pairs", f"pairs-{scheme}", backends, seed, figures, commit, machine),
            )
            table.add_row(scheme, *(f"{value:,.4g}" for value in figures.values()))
    Console(width=None if sys.stdout.isatty() else 200).print(table)


@cli.command()
@click.argument("folder", type=click.Path(exists=True, path_type=Path))
def slopes(folder: Path) -> None:
    """Fit a line through each figure of each axis, and show what it says at the plan's size."""
    results = read(folder)
    if not results:
        raise click.UsageError(f"{str(folder)!r} holds no results")
    table = Table(*Slope._fields)
    for slope in fit(results):
        table.add_row(*(_cell(value) for value in slope))
    Console(width=None if sys.stdout.isatty() else 200).print(table)


def _cell(value: object) -> str:
    return "-" if value is None else f"{value:.4g}" if isinstance(value, float) else str(value)


def main(arguments: Sequence[str] | None = None) -> int:
    """Exit 0; 2 with one plain line on what can't be used; 128 and the signal's number when interrupted."""
    try:
        cli.main(args=arguments, prog_name="fleetlab", standalone_mode=False)
    except click.ClickException as error:
        print("fleetlab: " + " ".join(error.format_message().split()), file=sys.stderr)
        return 2
    except (BadResult, OSError) as error:
        print("fleetlab: " + " ".join(str(error).split()), file=sys.stderr)
        return 2
    except Interrupted as error:
        print("fleetlab: interrupted; all that was started has been ended", file=sys.stderr)
        return 128 + error.signum
    except click.exceptions.Abort:
        return 130
    return 0
