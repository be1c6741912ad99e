"""Shares of teams: surplus jobs come last, and busy pools are shared by weight."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from structlog.testing import capture_logs

from cuminhill.jobs.advice import CallRank
from cuminhill.jobs.decisions import waiting_steps
from cuminhill.jobs.fleet import Slot
from cuminhill.jobs.model import AdviceTerms, EndKind, JobState
from cuminhill.jobs.nodemetrics import make_node_metrics
from cuminhill.jobs.progress import Progress
from cuminhill.jobs.shares import (
    HISTORY_S,
    MAX_SHARE_WAIT_S,
    Bucket,
    Shares,
    dump_team_usage,
)

from .builders import (
    BEGUN_AT,
    WALL,
    answer_renewal,
    ended_row,
    make_entry,
    make_job,
    make_placer,
    make_queue,
    make_step,
    mark_started,
    running_row,
    submit,
    task_key,
)
from .test_team_caps import make_team, next_placer, with_teams

NOW = BEGUN_AT
TEAM = make_team(weight=2.0)


def order_at(placer, at=0.0):
    """Return the ids of the jobs whose steps wait, in the order of placement."""
    rows = waiting_steps(placer, WALL + at)
    return [step_run.job.job_id[0] for step_run, _, _ in rows]


def submit_some(placer, team, ids, at=0.0, **more):
    for name in ids:
        job = make_job(job_id=name * 16, team=team, accepted_at=WALL + at, **more)
        submit(placer, job)


# Guards against jobs beyond a team's rate that are placed before the others' jobs
# because they are more urgent or were accepted earlier.
def test_surplus_jobs_come_after_all_others_in_the_order_of_acceptance():
    placer = make_placer(make_queue(priority=0), make_queue("p", priority=2))
    with_teams(placer, TEAM)
    submit_some(placer, TEAM, "d", at=0.2)
    submit_some(placer, TEAM, "c", at=0.1)
    submit_some(placer, TEAM, "ab")
    submit_some(placer, make_team("u"), "e", at=0.3, queue="p")
    submit_some(placer, None, "f", at=0.4, queue="p")
    assert order_at(placer, 0.5) == ["a", "b", "e", "f", "c", "d"]


# Guards against a job that waits without end for its team's share alone.
def test_after_a_time_a_surplus_job_is_placed_like_any_other():
    placer = make_placer(make_queue(target_s=100.0))
    with_teams(placer, TEAM)
    submit_some(placer, TEAM, "abc")
    submit_some(placer, make_team("u"), "d", at=1.0)
    assert order_at(placer, MAX_SHARE_WAIT_S - 1) == ["a", "b", "d", "c"]
    assert order_at(placer, MAX_SHARE_WAIT_S + 1) == ["a", "b", "c", "d"]


# Guards against jobs that are surplus for as long as the clock of their VM is ahead.
def test_a_job_from_a_vm_whose_clock_is_far_ahead_is_not_surplus():
    placer = make_placer()
    with_teams(placer, TEAM)
    submit_some(placer, TEAM, "abcd", at=3600.0)
    order_at(placer)
    assert not placer.shares.surplus_steps


# Guards against a rate of another version of the configuration.
def test_the_newest_weight_decides_which_jobs_are_surplus():
    placer = make_placer()
    with_teams(placer, TEAM)
    submit_some(placer, TEAM, "abcd")
    order_at(placer)
    assert placer.shares.buckets["t"].surplus == {"c" * 16, "d" * 16}
    with_teams(placer, make_team(weight=3.0))
    order_at(placer)
    assert placer.shares.buckets["t"].surplus == {"d" * 16}


def reference_surplus(times, rate):
    """Return the surplus jobs of a bucket that knows all acceptances in order."""
    burst = max(1.0, rate)
    level, at, surplus = burst, 0.0, set()
    for accepted_at, job_id in sorted(times):
        level = min(burst, level + rate * (accepted_at - at))
        at = accepted_at
        if level < 1.0 - 1e-9:
            surplus.add(job_id)
        else:
            level -= 1.0
    return surplus


# Guards against a result that depends on the order in which records are read, or on
# when a placer was asked, so that a new term would judge the same jobs otherwise.
@given(
    st.lists(st.integers(0, 200), min_size=1, max_size=60),
    st.sampled_from([0.25, 1.0, 2.5, 7.0]),
    st.randoms(use_true_random=False),
)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_a_bucket_does_not_depend_on_the_order_of_reading(times, rate, rng):
    rows = [(time / 10, f"{number:03}") for number, time in enumerate(times)]
    expected = reference_surplus(rows, rate)
    bucket = Bucket()
    rng.shuffle(rows)
    for accepted_at, job_id in rows:
        bucket.note(job_id, accepted_at)
        bucket.note(job_id, accepted_at)  # read again from a snapshot
        if rng.random() < 0.3:
            bucket.has_surplus(job_id, rate)
    found = {job_id for _, job_id in rows if bucket.has_surplus(job_id, rate)}
    assert found == expected


# Guards against memory that grows with all jobs of a day, and against a bucket that is
# full again each time old acceptances are dropped.
def test_a_bucket_forgets_old_acceptances_and_keeps_its_level():
    bucket = Bucket()
    n_surplus = 0
    for number in range(10_000):
        bucket.note(f"{number}", number / 10)
        n_surplus += bucket.has_surplus(f"{number}", 1.0)
    assert len(bucket.times) <= 2 * HISTORY_S * 10 + 1
    assert len(bucket.times) == len(bucket._known)
    assert bucket.surplus <= bucket._known
    assert n_surplus == pytest.approx(9_000, abs=3)


# Guards against a long-running job that takes a second token when a new term takes it
# in after it has read the whole journal: a team of low weight lacks it for minutes.
def test_an_old_acceptance_that_is_noted_again_takes_no_token():
    bucket = Bucket()
    bucket.note("lasting", 0.0)
    bucket.note("recent", 1000.0)
    bucket.note("lasting", 0.0)
    assert bucket.has_surplus("recent", 0.0005) is False
    bucket.note("next", 1000.5)
    assert bucket.has_surplus("next", 0.0005) is True


# Guards against jobs that stop to be surplus when the placer changes.
def test_a_new_placer_arrives_at_the_same_surplus():
    first = make_placer()
    with_teams(first, TEAM)
    submit_some(first, TEAM, "ab")
    submit_some(first, TEAM, "cd", at=0.3)
    order_at(first, 0.5)
    second = next_placer(first, NOW + 1, ["w1"])
    assert order_at(second, 0.5) == order_at(first, 0.5)
    surplus = second.shares.buckets["t"].surplus
    assert surplus == first.shares.buckets["t"].surplus == {"c" * 16, "d" * 16}


def use_cores(placer, worker_id, cores, team, urgent=False):
    """Have a team use some cores of a worker."""
    number = len(placer.workers[worker_id].slots)
    key = task_key(number, job_id="9" * 16)
    need = make_step(cores=cores).need
    slot = Slot(key, 1, need, 2.0, team=team, urgent=urgent)
    placer.workers[worker_id].add(slot)


# Guards against a busy pool that one team keeps for itself, and against an order by
# shares in a pool that has room for all.
@pytest.mark.parametrize("busy", [True, False])
def test_on_a_busy_pool_a_team_above_its_share_comes_after_one_below(busy):
    placer = make_placer(n_workers=2)
    first, second = make_team("t", weight=10.0), make_team("u", weight=30.0)
    with_teams(placer, first, second)
    use_cores(placer, "w1", 12.0 if busy else 6.0, "t")
    use_cores(placer, "w2", 12.0 if busy else 6.0, "u")
    submit_some(placer, first, "a")
    submit_some(placer, second, "b", at=0.1)
    submit_some(placer, None, "c", at=0.2)
    assert order_at(placer, 0.3) == (["b", "c", "a"] if busy else ["a", "b", "c"])
    later = MAX_SHARE_WAIT_S + 1
    assert order_at(placer, later) == ["a", "b", "c"]


# Guards against a share that is counted among teams that want nothing: a team alone
# with its waiting work would come after work without a team.
def test_a_share_counts_only_teams_with_waiting_steps():
    placer = make_placer(n_workers=2)
    first = make_team("t", weight=1.0)
    with_teams(placer, first, make_team("u", weight=99.0))
    use_cores(placer, "w1", 16.0, "t")
    use_cores(placer, "w2", 4.0, "u")
    submit_some(placer, first, "a")
    submit_some(placer, None, "b", at=0.1)
    assert order_at(placer, 0.3) == ["a", "b"]


# Guards against a share that overrides urgency.
def test_shares_do_not_change_the_order_of_ranks():
    placer = make_placer(make_queue(), make_queue("p", priority=2))
    first, second = make_team("t", weight=10.0), make_team("u", weight=30.0)
    with_teams(placer, first, second)
    use_cores(placer, "w1", 16.0, "t")
    submit_some(placer, second, "a", queue="p")
    submit_some(placer, first, "b", at=0.1)
    assert order_at(placer, 0.2) == ["b", "a"]


# Guards against surplus work that fills a pool, or reserves its workers.
def test_surplus_jobs_leave_some_cores_and_reserve_none():
    placer = make_placer(make_queue(priority=1), n_workers=2)
    with_teams(placer, TEAM)
    use_cores(placer, "w1", 16.0, "u")
    submit_some(placer, TEAM, "ab")
    step = make_step(30)
    job = make_job(step, job_id="c" * 16, team=TEAM)
    submit(placer, job)
    gang = make_step(20, gang=True, run_time_s=60.0)
    submit(placer, make_job(gang, job_id="d" * 16, team=TEAM))
    with capture_logs() as logs:
        placer.decide(NOW, WALL)
        for at in (0.6, 1.8, 2.4):
            placer.decide(NOW + at, WALL + at)
    free = sum(worker.free.cores for worker in placer.workers.values())
    assert free == 4.0  # a tenth of 32 cores is left
    assert not placer.reservations
    assert not placer.reserved
    reasons = {row["reason"] for row in logs if row["event"] == "step waits"}
    assert reasons == {"surplus"}


# Guards against surplus jobs of an urgent queue whose calls for advice, and use of room
# that is kept for others, come before the work of other teams.
def test_surplus_jobs_of_an_urgent_queue_have_no_privilege():
    advice = AdviceTerms(0.4, 0.01, 2.5)
    urgent = make_queue(priority=0, advice=advice)
    placer = make_placer(urgent, make_queue("p", priority=2))
    with_teams(placer, make_team(weight=1.0))
    submit_some(placer, TEAM, "ab")
    _, calls = placer.decide(NOW, WALL)
    ranks = {call.step[0]: call.rank for call in calls}
    assert ranks == {"a": CallRank.URGENT, "b": CallRank.PLACE}
    placer = make_placer(make_queue(), make_queue("p", priority=2))
    with_teams(placer, make_team(weight=1.0))
    use_cores(placer, "w1", 6.0, "u", urgent=True)
    for job_id, step in (("a", make_step(1)), ("b", make_step(40))):
        submit(placer, make_job(step, job_id=job_id * 16, team=TEAM))
    placed, _ = placer.decide(NOW, WALL)
    # 26 cores less the headroom of .35 of 32 cores for urgent work, which uses 6.
    assert Counter(row.key.job_id[0] for row in placed) == {"a": 1, "b": 20}


# Guards against a surplus job that has nothing running although the pool is not busy.
@pytest.mark.parametrize("gang", [False, True])
def test_on_a_pool_that_is_not_busy_a_surplus_job_starts(gang):
    placer = make_placer(make_queue(priority=1), n_workers=1)
    with_teams(placer, make_team(weight=1.0))
    submit_some(placer, TEAM, "a")
    big = make_step(1, cores=15.0, gang=gang)
    submit(placer, make_job(big, job_id="b" * 16, team=TEAM))
    placed, _ = placer.decide(NOW, WALL)
    assert {row.key.job_id[0] for row in placed} == {"a", "b"}


def start_delays(flood, n_workers, *, n_teams=20, seconds=20, seed=5):
    """Return the seconds until each entitled job of all teams but the first starts.

    Parameters
    ----------
    flood : int
        Multiple of its usual rate at which the first team submits.
    """
    rng = random.Random(seed)
    teams = [make_team(f"t{number}", weight=2.0) for number in range(n_teams)]
    placer = make_placer(make_queue(), make_queue("p", priority=2), n_workers=n_workers)
    with_teams(placer, *teams)
    arrivals = []
    for number, team in enumerate(teams):
        rate = 2.0 * (flood if not number else 0.7)
        at = 0.0
        while (at := at + rng.expovariate(rate)) < seconds:
            arrivals.append((at, len(arrivals), team))
        rng.seed(seed + number + 1)  # the others' jobs are the same in each case
    arrivals.sort(key=lambda row: row[0])
    ends, delays, accepted, n_ended = [], {}, {}, Counter()
    for tick in range(10 * seconds):
        at = tick / 10
        now = NOW + at
        while arrivals and arrivals[0][0] <= at:
            accepted_at, _, team = arrivals.pop(0)
            job_id = f"{len(accepted):016x}"
            step = make_step(2, cores=2.0, run_time_s=1.0)
            accepted[job_id] = (accepted_at, team.name)
            queue = "q" if len(accepted) % 2 else "p"
            job = make_job(
                step,
                job_id=job_id,
                team=team,
                queue=queue,
                accepted_at=WALL + accepted_at,
            )
            submit(placer, job, now)
        rows = {}
        for row in [row for until, row in ends if until <= at]:
            n_ended[row.worker_id] += 1
            ended = ended_row(row, n_ended[row.worker_id], EndKind.DONE)
            rows.setdefault(row.worker_id, []).append(ended)
        ends = [row for row in ends if row[0] > at]
        for worker_id in placer.workers:
            running = [running_row(r, 50.0) for _, r in ends if r[0] == worker_id]
            answer_renewal(
                placer,
                worker_id,
                now,
                running=tuple(running),
                ended=tuple(rows.get(worker_id, ())),
            )
        placer.tick(now)
        placed, _ = placer.decide(now, WALL + at)
        mark_started(placer, placed, now)
        ends += [(at + 1.0, row) for row in placed]
        for row in placed:
            accepted_at, _ = accepted[row.key.job_id]
            delays.setdefault(row.key.job_id, at - accepted_at)
    entitled = set()
    for team in teams[1:]:
        times = [(at, name) for name, (at, of) in accepted.items() if of == team.name]
        surplus = reference_surplus(times, team.weight)
        entitled.update(name for _, name in times if name not in surplus)
    return [
        delays.get(job_id, seconds - accepted_at)
        for job_id, (accepted_at, _) in accepted.items()
        if job_id in entitled and accepted_at < seconds - 3
    ]


# Load: one of 20 teams submits eight times the rate it is entitled to, for 20 s, on
# workers with and without room for all of it. Times are those of the simulation. Guards
# against a team whose surplus delays the entitled jobs of others.
@pytest.mark.parametrize("n_workers", [12, 9])
def test_the_surplus_of_one_team_does_not_delay_the_jobs_of_others(n_workers):
    usual, flooded = start_delays(1.0, n_workers), start_delays(8.0, n_workers)
    assert len(usual) == len(flooded) > 300
    pairs = zip(usual, flooded, strict=True)
    later = [after - before for before, after in pairs if after > before + 1e-6]
    # A burst of others may need more than what surplus jobs leave free.
    assert len(later) <= (0 if n_workers == 12 else 0.01 * len(usual))
    assert max(later, default=0.0) <= 0.2  # two decisions


# Guards against a dump that does not show which team holds what, or forgets the runs
# of a team that was removed.
def test_the_dump_shows_usage_cap_and_waiting_jobs_of_each_team():
    placer = make_placer(n_workers=1)
    team = make_team(cores=4.0, weight=2.0)
    with_teams(placer, team, make_team("idle"))
    use_cores(placer, "w1", 1.5, "gone")
    submit(placer, make_job(make_step(6), job_id="a" * 16, team=team))
    placer.decide(NOW, WALL)
    submit_some(placer, team, "bcd")
    rows = dump_team_usage(placer, WALL)
    assert list(rows) == ["t", "idle", "gone"]
    row = rows["t"]
    assert (row["cores"], row["memory_mb"], row["cap_cores"]) == (4.0, 400.0, 4.0)
    assert (row["n_waiting"], row["n_surplus"]) == (3, 2)
    assert rows["gone"]["cores"] == 1.5
    metrics = make_node_metrics()
    metrics.update_from({"leading": {"teams": rows}})
    text = metrics.render()
    assert b'team_surplus_jobs{team="t"} 2' in text
    assert b'team_cores{team="gone"} 1.5' in text


def lines_of_usage_dump(n_lines, n_teams):
    """Return the work of a dump with a run of each team in a pool of its own."""
    placer = make_placer(n_workers=0)
    with_teams(placer, *(make_team(f"t{number}") for number in range(n_teams)))
    for number in range(n_teams):
        entry = make_entry(f"w{number}", pool=f"pool-{number}")
        placer.register_worker(entry, BEGUN_AT)
        use_cores(placer, f"w{number}", 1.5, f"t{number}")
    n_executed = n_lines(lambda: dump_team_usage(placer, WALL))
    rows = dump_team_usage(placer, WALL)
    assert [row["cores"] for row in rows.values()] == [1.5] * n_teams
    return n_executed


# Guards against a scrape whose work is the product of the numbers of teams and pools.
def test_a_dump_does_not_look_for_each_team_in_each_pool(n_lines):
    few, many = (lines_of_usage_dump(n_lines, n_teams) for n_teams in (20, 80))
    assert many < 5 * few


# Guards against a scrape that takes its time for jobs that can't be surplus any more.
def test_a_dump_asks_only_for_new_jobs_whether_they_are_surplus(monkeypatch):
    placer = make_placer(n_workers=1)
    with_teams(placer, TEAM)
    submit_some(placer, TEAM, "abcdef")
    submit_some(placer, TEAM, "0123", at=MAX_SHARE_WAIT_S + 5.0)
    asked = []
    is_surplus = Shares.is_surplus

    def count(shares, placer, job, wall):
        asked.append(job.job_id[0])
        return is_surplus(shares, placer, job, wall)

    monkeypatch.setattr(Shares, "is_surplus", count)
    rows = dump_team_usage(placer, WALL + MAX_SHARE_WAIT_S + 6.0)
    assert (rows["t"]["n_waiting"], rows["t"]["n_surplus"]) == (10, 2)
    assert asked == list("0123")


# Guards against decisions and dumps that hash members of an enumeration for each job.
@pytest.mark.parametrize("state", JobState)
def test_whether_a_job_has_ended_hashes_no_state(state, monkeypatch):
    progress = Progress(make_job(), state)
    hashed = []
    monkeypatch.setattr(JobState, "__hash__", lambda state: hashed.append(state) or 0)
    assert progress.has_ended == (state.value in ("completed", "failed"))
    assert hashed == []
