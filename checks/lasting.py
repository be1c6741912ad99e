"""Disturbs a cluster of real processes and checks that lasting tasks run again in time.

Nine entry VMs, 24 workers, a store and a placement advice service run on loopback.
Callers submit tasks that last, beside batches and urgent work. In each cycle workers
are lost while VMs are killed or the store is away; then nothing is disturbed, and every
lasting task has to run again within the bounds of the rule LOST (`lasting_judge`).
"""

from __future__ import annotations

import asyncio
import json
import math
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import click

from review.harness.record import Record
from review.harness.site import route

from .lasting_judge import N_PLACES, PARTS, parse_lines, split_absences
from .lasting_site import ADVICE, TICKET_S, WATCH_S, LastingSite

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

OUT = Path("out/lasting")  # logs and records, one folder for each seed
N_LOST = 6  # workers, a quarter
WATCH_CYCLE_S = 14.0  # of calm after the disturbances of a cycle, at most
ALL_BACK_S = 0.8  # a cycle ends once all tasks have run again for this time
LAPSE_S = 6.5  # runs on a worker that is cut off have lapsed after this time
SETTLE_S = 3.0  # before each cycle
# Of okrnik-grid: tasks of a lasting job, and of which most share no worker with more
# than one other. Their cores are fewer, so that the workers left have room.
N_PERMITTED = 8  # workers for each lasting job, so that those left have room
N_JOBS, N_TASKS, TASK_CPU, MAX_PER_WORKER, APART_SHARE = 6, 8, 4000, 2, 0.7


class Load(NamedTuple):
    """Jobs of two equal steps.

    Parameters
    ----------
    every_s : float, seconds
        Mean interval between two jobs.
    n_tasks, cpu, ms : int, int, float
        Tasks of a step, cores of each in thousandths and its run time in milliseconds.
    """

    queue: str
    every_s: float
    n_tasks: int
    cpu: int
    ms: float


# "light" makes the calls for advice of a fuller service and leaves room; in "full",
# some steps have no room after a loss.
LOADS: dict[str, list[Load]] = {
    "none": [],
    "light": [Load("batch", 1.2, 6, 2500, 2500), Load("check", 0.32, 3, 2000, 800)],
    "full": [Load("batch", 2.0, 13, 5500, 3800), Load("check", 0.32, 6, 2500, 800)],
}


async def _lose_around(site: LastingSite, rng: random.Random, how: str) -> None:
    """Lose workers within a second after now; called a second before a disturbance."""
    await asyncio.sleep(rng.uniform(0.0, 2.0))
    await site.lose_workers(rng, N_LOST, how)


async def _kill_placer(site: LastingSite, down_s: float, lose: Any) -> None:
    losing = asyncio.create_task(lose)
    await asyncio.sleep(1.0)
    await site.kill(site.placer(), down_s)
    await losing


async def placer_killed_long(site: LastingSite, rng: random.Random) -> None:
    """Kill the placer for 3.5 s; workers crash in the second before or after."""
    await _kill_placer(site, 3.5, _lose_around(site, rng, "crash"))


async def placer_killed_short(site: LastingSite, rng: random.Random) -> None:
    """Kill the placer for 0.3 to 1 s; workers go dark in the second before or after."""
    down_s = rng.uniform(0.3, 1.0)
    await _kill_placer(site, down_s, _lose_around(site, rng, "dark"))


async def placer_killed_cut(site: LastingSite, rng: random.Random) -> None:
    """Kill the placer for 3.5 s while workers are cut off for good."""
    await _kill_placer(site, 3.5, _lose_around(site, rng, "cut"))


async def workers_cut(site: LastingSite, rng: random.Random) -> None:
    """Cut workers off for 5.5 s and kill the placer for 1 s meanwhile."""
    lost = await site.lose_workers(rng, N_LOST, "cut")
    back = asyncio.create_task(site.bring_back(lost, 5.5))
    await asyncio.sleep(rng.uniform(0.2, 3.0))
    await site.kill(site.placer(), 1.0)
    await back


async def workers_restart(site: LastingSite, rng: random.Random) -> None:
    """Have workers go dark for 4.5 s and kill the placer for 3.5 s."""
    lost = await site.lose_workers(rng, N_LOST, "dark")
    back = asyncio.create_task(site.bring_back(lost, 4.5))
    await asyncio.sleep(rng.uniform(0.0, 1.0))
    await site.kill(site.placer(), 3.5)
    await back


async def placer_gone(site: LastingSite, rng: random.Random) -> None:
    """Kill the placer for good; workers crash in the second before or after."""
    losing = asyncio.create_task(_lose_around(site, rng, "crash"))
    await asyncio.sleep(1.0)
    await site.kill(site.placer(), 0.0, back=False)
    await losing


async def placer_stopped(site: LastingSite, rng: random.Random) -> None:
    """Stop the placer with SIGTERM; workers crash in the second before or after."""
    losing = asyncio.create_task(_lose_around(site, rng, "crash"))
    await asyncio.sleep(1.0)
    await site.stop_and_start(site.placer())
    await losing


async def placer_frozen(site: LastingSite, rng: random.Random) -> None:
    """Suspend the placer for 4 s; workers crash in the second before or after."""
    losing = asyncio.create_task(_lose_around(site, rng, "crash"))
    await asyncio.sleep(1.0)
    await site.freeze(site.placer(), 4.0)
    await losing


async def placers_in_turn(site: LastingSite, rng: random.Random) -> None:
    """Kill three placers one after the other; workers crash beside the first."""
    losing = asyncio.create_task(_lose_around(site, rng, "crash"))
    await asyncio.sleep(1.0)
    kills = []
    for _ in range(3):
        kills.append(asyncio.create_task(site.kill(site.placer(), 3.5)))
        await asyncio.sleep(3.0)
    await asyncio.gather(losing, *kills)


async def all_killed(site: LastingSite, rng: random.Random) -> None:
    """Kill all VMs for a second; workers crash in the second before or after."""
    losing = asyncio.create_task(_lose_around(site, rng, "crash"))
    await asyncio.sleep(1.0)
    await asyncio.gather(losing, *(site.kill(node, 0.9) for node in site.nodes))


async def _store_away(
    site: LastingSite, rng: random.Random, share: float, for_s: float
) -> None:
    others = [node for node in site.nodes if node is not site.placer()]
    n_others = round(share * len(site.nodes)) - 1
    nodes = [site.placer(), *rng.sample(others, n_others)]
    losing = asyncio.create_task(_lose_around(site, rng, "crash"))
    silent = rng.random() < 0.5
    await asyncio.sleep(1.0)
    await site.take_store_away(nodes, for_s, silent=silent)
    await losing


async def store_away(site: LastingSite, rng: random.Random) -> None:
    """Take the store away from all VMs for 4.5 s; workers crash before or after."""
    await _store_away(site, rng, 1.0, 4.5)


async def store_away_share(site: LastingSite, rng: random.Random) -> None:
    """Take the store away from the placer and two other VMs for 4.5 s."""
    await _store_away(site, rng, 1 / 3, 4.5)


async def store_away_kill(site: LastingSite, rng: random.Random) -> None:
    """Take the store away for 4.5 s and kill the placer meanwhile for 1 s."""
    silent = rng.random() < 0.5
    away = asyncio.create_task(site.take_store_away(site.nodes, 4.5, silent=silent))
    await asyncio.sleep(rng.uniform(0.2, 1.0))
    await site.lose_workers(rng, N_LOST, "crash")
    await site.kill(site.placer(), 1.0)
    await away


async def advice_slow(site: LastingSite, rng: random.Random) -> None:
    """Kill the placer for 1 s beside advice that takes 1.5 or 2 times as long."""
    site.advice.slowness = rng.choice((1.5, 2.0))
    await _kill_placer(site, 1.0, _lose_around(site, rng, "crash"))


async def advice_held(site: LastingSite, rng: random.Random) -> None:
    """Have the advice service hold calls for 3 s after the loss of workers."""
    await site.lose_workers(rng, N_LOST, "crash")
    await asyncio.sleep(rng.uniform(0.0, 3.0))
    await site.hold_advice(3.0)


async def workers_only(site: LastingSite, rng: random.Random) -> None:
    """Crash workers, and others a moment later, without any other disturbance."""
    await site.lose_workers(rng, N_LOST // 2, "crash")
    await asyncio.sleep(rng.uniform(0.1, 1.0))
    await site.lose_workers(rng, N_LOST // 2, "dark")


KINDS: dict[str, Callable[[LastingSite, random.Random], Awaitable[None]]] = {
    item.__name__.replace("_", "-"): item
    for item in (
        placer_killed_long,
        placer_killed_short,
        placer_killed_cut,
        placer_gone,
        placer_stopped,
        placer_frozen,
        placers_in_turn,
        all_killed,
        store_away,
        store_away_share,
        store_away_kill,
        workers_cut,
        workers_restart,
        advice_slow,
        advice_held,
        workers_only,
    )
}


LASTING = Load("watch", math.inf, N_TASKS, TASK_CPU, 3_600_000)


async def submit_lasting(site: LastingSite, rng: random.Random, n_jobs: int) -> None:
    """Submit jobs whose tasks last."""
    for _ in range(n_jobs):
        most = MAX_PER_WORKER if rng.random() < APART_SHARE else 0
        step: dict[str, Any] = {"count": N_TASKS, "cpu": TASK_CPU, "mem_mb": 2048}
        step |= {"est_runtime_ms": 320, "long_running": True}
        if most:
            step["max_per_server"] = most
        job = await submit(site, rng, LASTING, [step], widely=True)
        if job:
            site.lasting[job] = (N_TASKS, TASK_CPU, most)


async def submit(
    site: LastingSite,
    rng: random.Random,
    load: Load,
    steps: list[dict[str, Any]],
    *,
    widely: bool = False,
) -> str:
    """Submit a job; return its id, empty if it was not accepted.

    Parameters
    ----------
    widely : bool, default=False
        Whether at least `N_PERMITTED` workers have to be permitted for its first step.
    """
    job = f"{rng.getrandbits(64):016x}"
    while widely and site.n_permitted(f"{job}.0.0") < N_PERMITTED:
        job = f"{rng.getrandbits(64):016x}"
    site.advice.queues[job] = load.queue
    spec = json.dumps({"cpu": load.cpu, "ms": load.ms})
    body = {"spec": spec, "phases": steps}
    return job if await site.submit(f"/{load.queue}/", job, body) == 200 else ""


async def offer_load(site: LastingSite, rng: random.Random, load: Load) -> None:
    """Submit jobs at a mean interval."""
    calls: set[asyncio.Task[str]] = set()
    first: dict[str, Any] = {"count": load.n_tasks, "cpu": load.cpu, "mem_mb": 1024}
    first["est_runtime_ms"] = load.ms
    steps: list[dict[str, Any]] = [first, first | {"after": [0]}]
    while True:
        await asyncio.sleep(rng.expovariate(1 / load.every_s))
        call = asyncio.create_task(submit(site, rng, load, steps))
        calls.add(call)
        call.add_done_callback(calls.discard)


async def wait_until_back(site: LastingSite) -> tuple[float, bool]:
    """Wait until all lasting tasks that have room have run again.

    Returns
    -------
    back_s : float, seconds
        Calm time until then.
    had_room : bool
        Whether each absent task had room twice over all the while.
    """
    begun_at = back_at = time.monotonic()
    back_s, had_room = 0.0, True
    while (now := time.monotonic()) - begun_at < WATCH_CYCLE_S:
        await asyncio.sleep(WATCH_S)
        places = {task: item.n_places for task, item in site.absent().items()}
        if places:
            site.record.add("absent", tasks=places)
            had_room &= min(places.values()) >= N_PLACES
        if any(places.values()):
            back_at, back_s = now, now - site.disturbed_at
        cut = any(getattr(item, "cut", False) for item in site.workers)
        least_s = LAPSE_S if cut else 0.0
        if now - back_at > ALL_BACK_S and now - begun_at > least_s:
            break
    return back_s, had_room


def describe(site: LastingSite, kind: str, since: float) -> dict[str, float]:
    """Print the parts of the longest absence of a cycle and return them."""
    lines: list[str] = []
    for path in site.folder.glob("*.log"):
        lines += path.read_text(errors="replace").splitlines()
    found = split_absences(site.absences(since), parse_lines(lines))
    found.sort(key=lambda row: -row[0].length_s)
    for item, parts in found:
        values = {name: round(value, 3) for name, value in parts.items()}
        site.record.add(
            "absence",
            kind=kind,
            task=item.task,
            worker=item.worker,
            length_s=round(item.length_s, 3),
            **values,
        )
    return {"length": found[0][0].length_s} | found[0][1] if found else {}


async def play_cycle(
    site: LastingSite, rng: random.Random, kind: str
) -> dict[str, Any]:
    """Play one cycle and return what it has shown."""
    begun_at = time.monotonic()
    n_before, n_ripe = len(site.judge.violations), site.judge.n_ripe
    site.record.add("cycle", kind=kind)
    await KINDS[kind](site, rng)
    back_s, had_room = await wait_until_back(site)
    parts = describe(site, kind, begun_at)
    n_lost = len(site.judge.violations) - n_before
    row = {
        "kind": kind,
        "back_s": round(back_s, 2),
        "had_room": had_room,
        "violations": n_lost,
        "ripe": site.judge.n_ripe - n_ripe,
        "parts": {name: round(value, 2) for name, value in parts.items()},
    }
    site.record.add("calm", **row)
    text = " ".join(f"{name} {parts.get(name, 0.0):.2f}" for name in PARTS)
    click.echo(
        f"{kind:20}{' ' if had_room else '*'} all back {back_s:5.2f} s after the last"
        f" disturbance, longest {parts.get('length', 0.0):5.2f} s ({text}),"
        f" LOST {n_lost}"
    )
    site.advice.slowness = 1.0
    await site.replace_lost()
    for node in site.nodes:
        if node.process is not None and node.process.poll() is not None:
            node.start()
    await site.wait_ready()
    await asyncio.sleep(SETTLE_S)
    site.disturb("restored")
    return row


async def play(
    site: LastingSite, kinds: list[str], *, seed: int, n_jobs: int, load: str
) -> list[dict[str, Any]]:
    """Play one cycle for each kind of disturbance."""
    advice = {
        name: {"decide_ms": 1000 * a, "each_ms": 1000 * b, "valid_ms": 1000 * TICKET_S}
        for name, (a, b, _) in ADVICE.items()
    }
    watch = route("watch", stretch=2.2, target_duration_ms=2500, max_attempts=3)
    batch = route("batch", stretch=2.2, target_duration_ms=1200, priority=2)
    check = route("check", stretch=1.5, target_duration_ms=250, priority=0)
    routes = [item | {"advice": advice[item["name"]]} for item in (watch, batch, check)]
    await site.start_all(routes)
    await submit_lasting(site, random.Random(f"{seed} jobs"), n_jobs)
    for number, item in enumerate(LOADS[load]):
        offer = offer_load(site, random.Random(f"{seed} load {number}"), item)
        site._tasks.append(asyncio.create_task(offer))
    await asyncio.sleep(SETTLE_S)
    site.disturb("begun")
    site._tasks.append(asyncio.create_task(site.watch()))
    rows = []
    for number, kind in enumerate(kinds):
        rng = random.Random(f"{seed} {number} {kind}")
        rows.append(await play_cycle(site, rng, kind))
    return rows


def start_busy(count: int) -> list[subprocess.Popen[bytes]]:
    """Start processes that compute until they are killed."""
    code = "import os\np = os.getppid()\nwhile os.getppid() == p: sum(range(10**5))"
    return [subprocess.Popen([sys.executable, "-c", code]) for _ in range(count)]


def summarize(site: LastingSite, rows: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the closing line."""
    longest: Counter[str] = Counter()
    for row in rows:
        parts = {name: row["parts"].get(name, 0.0) for name in PARTS}
        if any(parts.values()):
            longest[max(parts, key=lambda name: parts[name])] += 1
    return {
        "cycles": len(rows),
        "violations": len(site.judge.violations),
        "kinds": dict(Counter(row["kind"] for row in rows if row["violations"])),
        "twice": len(site.find_doubles()),
        "overfull": sum(len(item.overfull) for item in site.past + site.workers),
        "ripe": site.judge.n_ripe,
        "no_room": sum(not row["had_room"] for row in rows),
        "worst_back_s": max((row["back_s"] for row in rows), default=0.0),
        "worst_absence_s": max(
            (row["parts"].get("length", 0.0) for row in rows), default=0.0
        ),
        "longest_part": dict(longest),
        "worst_lag_s": round(site.worst_lag_s, 2),
        "load": [round(value, 1) for value in os.getloadavg()[:2]],
    }


@click.command()
@click.option("--seed", default=1, show_default=True, help="Seed of what is drawn.")
@click.option("--rounds", default=1, show_default=True, help="Cycles of each kind.")
@click.option(
    "--kind",
    "kinds",
    multiple=True,
    type=click.Choice(sorted(KINDS)),
    help="Kind of disturbance; repeatable. By default, all.",
)
@click.option("--jobs", default=N_JOBS, show_default=True, help="Jobs that last.")
@click.option(
    "--load",
    default="light",
    show_default=True,
    type=click.Choice(sorted(LOADS)),
    help="Work of other queues.",
)
@click.option(
    "--busy", default=0, show_default=True, help="Processes that compute beside it."
)
@click.option(
    "--out", default=OUT, type=click.Path(path_type=Path), help="Folder of the logs."
)
def main(
    *,
    seed: int,
    rounds: int,
    kinds: tuple[str, ...],
    jobs: int,
    load: str,
    busy: int,
    out: Path,
) -> None:
    """Disturb a cluster and check that lasting tasks run again in time."""
    os.environ["PATH"] = f"{Path(sys.executable).parent}:{os.environ['PATH']}"
    order = [kind for _ in range(rounds) for kind in kinds or KINDS]
    random.Random(seed).shuffle(order)
    folder = out / str(seed)
    folder.mkdir(parents=True, exist_ok=True)
    record = Record(folder / "record.txt")

    async def run() -> tuple[LastingSite, list[dict[str, Any]]]:
        # The processes that the play has started end with it.
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        if task is not None:
            loop.add_signal_handler(signal.SIGTERM, task.cancel)
        with tempfile.TemporaryDirectory() as scratch:
            site = LastingSite(record, Path(scratch), True)
            try:
                rows = await play(site, order, seed=seed, n_jobs=jobs, load=load)
            finally:
                for path in Path(scratch).glob("*.log"):
                    (folder / path.name).write_bytes(path.read_bytes())
                await site.stop()
                await site.advice.server.stop()
            return site, rows

    processes = start_busy(busy)
    try:
        site, rows = asyncio.run(run())
    finally:
        for process in processes:
            process.kill()
            process.wait()
    twice = [f"TWICE: {text}" for text in site.find_doubles()]
    for text in site.judge.violations + twice:
        click.echo(text)
    closing = json.dumps({"seed": seed} | summarize(site, rows))
    record.add("closing", text=closing)
    click.echo(closing)
    sys.exit(1 if site.judge.violations or twice else 0)


if __name__ == "__main__":
    main()
