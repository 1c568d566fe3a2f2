"""Soak runs by seed: their plans, stored results and summaries."""

from __future__ import annotations

import shutil
import tempfile
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import NamedTuple

import msgspec

from fleetlab.json_lines import append_line
from fleetlab.soak.bad_clients_plan import make_bad_clients_plan
from fleetlab.soak.evidence import Evidence
from fleetlab.soak.run import SoakResult, run_plan
from fleetlab.soak.schedule import SoakPlan, make_plan
from fleetlab.soak.stress_plans import (
    make_pause_plan,
    make_shutdown_plan,
    make_slow_discovery_plan,
    make_slow_start_plan,
)
from fleetlab.soak.system_schedule import (
    make_counter_path_plan,
    make_system_fault_plan,
    make_wrong_clock_plan,
)
from fleetlab.soak.unlike_backends_plan import make_unlike_backends_plan

MIN_INGRESSES = 10
MAX_INGRESSES = 40
INGRESS_COUNT_EXPONENT = 3  # exponent of the draw: most runs have few ingresses, some the maximum
FIRST_SLOW_START_SEED = 1000
FIRST_SHUTDOWN_SEED = 2000
FIRST_PAUSE_SEED = 3000
FIRST_SYSTEM_FAULT_SEED = 4000
FIRST_WRONG_CLOCK_SEED = 5000
FIRST_CLIENTS_DISCONNECT_SEED = 6000
FIRST_COUNTER_PATH_SEED = 7000
FIRST_SLOW_DISCOVERY_SEED = 8000
FIRST_UNLIKE_BACKENDS_SEED = 9000
FIRST_BAD_CLIENTS_SEED = 10_000
STRESS_INGRESSES = (4, 16)  # range for stress plans, few enough for many clients at each
MAX_SHOWN_VIOLATIONS = 3


class _SeedRange(NamedTuple):
    """The plans of the seeds from the first one on, up to the next range.

    Attributes:
        first_seed: the lowest seed.
        make: returns the plan for a seed, a number of ingresses and a duration in seconds.
        few_ingresses: whether the number of ingresses is drawn from STRESS_INGRESSES.
        clients_disconnect_first: see SoakPlan.
    """

    first_seed: int
    make: Callable[[int, int, float], SoakPlan]
    few_ingresses: bool
    clients_disconnect_first: bool = False


_SEED_RANGES = (  # highest seeds first
    _SeedRange(FIRST_BAD_CLIENTS_SEED, make_bad_clients_plan, True),
    _SeedRange(FIRST_UNLIKE_BACKENDS_SEED, make_unlike_backends_plan, True),
    _SeedRange(FIRST_SLOW_DISCOVERY_SEED, make_slow_discovery_plan, True),
    _SeedRange(FIRST_COUNTER_PATH_SEED, make_counter_path_plan, False),
    _SeedRange(FIRST_CLIENTS_DISCONNECT_SEED, make_system_fault_plan, False, True),
    _SeedRange(FIRST_WRONG_CLOCK_SEED, make_wrong_clock_plan, True),
    _SeedRange(FIRST_SYSTEM_FAULT_SEED, make_system_fault_plan, False),
    _SeedRange(FIRST_PAUSE_SEED, make_pause_plan, True),
    _SeedRange(FIRST_SHUTDOWN_SEED, make_shutdown_plan, True),
    _SeedRange(FIRST_SLOW_START_SEED, make_slow_start_plan, True),
    _SeedRange(0, make_plan, False),
)


async def run_seed(out: Path, seed: int, ingresses: int, seconds: float) -> SoakResult:
    """Carry out the run of a seed and append its result to soak.jsonl in the output folder.

    ingresses: the number of ingresses, or 0 to draw it from the seed. The logs, configurations and
    records of a run with violations are stored in the subfolder seed-<seed>.
    """
    out.mkdir(parents=True, exist_ok=True)
    plan = plan_for_seed(seed, ingresses, seconds)
    with tempfile.TemporaryDirectory(prefix="soak-") as path:
        folder = Path(path)
        result, evidence = await run_plan(plan, folder)
        if result.violations:
            _save_failed_run(out / f"seed-{seed}", folder, result, evidence)
    append_line(out / "soak.jsonl", result)
    return result


def plan_for_seed(seed: int, ingresses: int, seconds: float) -> SoakPlan:
    """Return the plan for a seed.

    ingresses: the number of ingresses, or 0 to draw it from the seed.

    Seeds below FIRST_SLOW_START_SEED get the faults of `make_plan`: all kinds except system faults,
    counter faults and late resets by backends. The thousand seeds from FIRST_SYSTEM_FAULT_SEED on
    include system faults as well; so do the thousand from FIRST_CLIENTS_DISCONNECT_SEED on, whose
    clients disconnect before the processes are terminated, and those from FIRST_COUNTER_PATH_SEED
    on, whose path to the counter fails at times. The other ranges stress one rule each.
    """
    seed_range = next(found for found in _SEED_RANGES if seed >= found.first_seed)
    if not ingresses and seed_range.few_ingresses:
        ingresses = Random(seed).randint(*STRESS_INGRESSES)
    plan = seed_range.make(seed, ingresses or draw_ingresses(seed), seconds)
    if seed_range.clients_disconnect_first:
        return replace(plan, clients_disconnect_first=True)
    return plan


def draw_ingresses(seed: int) -> int:
    """Draw the number of ingresses for a seed."""
    share = Random(seed).random() ** INGRESS_COUNT_EXPONENT
    return MIN_INGRESSES + round((MAX_INGRESSES - MIN_INGRESSES) * share)


def _save_failed_run(target: Path, folder: Path, result: SoakResult, evidence: Evidence) -> None:
    shutil.copytree(folder, target, dirs_exist_ok=True)
    (target / "result.json").write_bytes(msgspec.json.format(msgspec.json.encode(result)))
    (target / "record.json").write_bytes(msgspec.json.encode(evidence.record))


def format_summary(result: SoakResult) -> str:
    """Return a summary of a run and of its first violations, as lines of text."""
    rules = Counter(violation.rule for violation in result.violations)
    lines = [
        f"seed {result.seed}: {result.ingresses} ingresses, {result.lives} lives, "
        f"{result.requests} requests, {result.attempts} attempts, {sum(result.faults.values())} "
        f"faults, longest wait {result.longest_wait_ms:.0f} ms, "
        f"cpu pressure {result.cpu_pressure:.2f}: {dict(rules) or 'no violation'}",
        "  closest: " + " ".join(f"{rule}={ratio:.2f}" for rule, ratio in result.closest.items()),
    ]
    if result.excused:
        lines.append(f"  excused, as a process waited for a processor: {result.excused}")
    lines += [
        f"  {violation.rule} {violation.subject}: {violation.detail}"
        for violation in result.violations[:MAX_SHOWN_VIOLATIONS]
    ]
    if result.violations:
        lines.append(
            f"  again: python -m fleetlab soak --out again --seeds {result.seed} "
            f"--ingresses {result.ingresses} --seconds {result.seconds:g}"
        )
    return "\n".join(lines)
