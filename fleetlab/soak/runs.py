"""Soak runs by seed: their plans, stored results and summaries."""

from __future__ import annotations

import shutil
import tempfile
from collections import Counter
from dataclasses import replace
from pathlib import Path
from random import Random

import msgspec

from fleetlab.json_lines import append_line
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
STRESS_INGRESSES = (4, 16)  # range for stress plans, few enough for many clients at each
MAX_SHOWN_VIOLATIONS = 3


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
    if seed < FIRST_SLOW_START_SEED:
        return make_plan(seed, ingresses or draw_ingresses(seed), seconds)
    if FIRST_SYSTEM_FAULT_SEED <= seed < FIRST_WRONG_CLOCK_SEED:
        return make_system_fault_plan(seed, ingresses or draw_ingresses(seed), seconds)
    if FIRST_COUNTER_PATH_SEED <= seed < FIRST_SLOW_DISCOVERY_SEED:
        return make_counter_path_plan(seed, ingresses or draw_ingresses(seed), seconds)
    if FIRST_CLIENTS_DISCONNECT_SEED <= seed < FIRST_COUNTER_PATH_SEED:
        plan = make_system_fault_plan(seed, ingresses or draw_ingresses(seed), seconds)
        return replace(plan, clients_disconnect_first=True)
    drawn_ingresses = Random(seed).randint(*STRESS_INGRESSES)
    if seed < FIRST_SHUTDOWN_SEED:
        make = make_slow_start_plan
    elif seed < FIRST_PAUSE_SEED:
        make = make_shutdown_plan
    elif seed < FIRST_SYSTEM_FAULT_SEED:
        make = make_pause_plan
    elif seed >= FIRST_SLOW_DISCOVERY_SEED:
        make = make_slow_discovery_plan
    else:
        make = make_wrong_clock_plan
    return make(seed, ingresses or drawn_ingresses, seconds)


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
