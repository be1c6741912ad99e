"""Caps of teams: no start takes a team above its cap, and no team is left stuck."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from structlog.testing import capture_logs

from cuminhill.jobs import adviceplans, decisions
from cuminhill.jobs.evacuation import HOLD_S
from cuminhill.jobs.model import AdviceTerms, EndKind, JobState, Team
from cuminhill.jobs.placer import Placer
from cuminhill.jobs.progress import decode_progress, encode_progress
from cuminhill.jobs.records import task_need
from cuminhill.jobs.waitnotes import longest_waits
from cuminhill.model import Resources
from cuminhill.util.kernel import run_to_end

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
)

NOW = BEGUN_AT
ADVICE = AdviceTerms(0.4, 0.01, 2.5)


def make_team(name="t", cores=0.0, memory_mb=0.0, accelerators=0.0, weight=1e3):
    """Return a team, by default with so much weight that no job is surplus."""
    return Team(name, weight, Resources(cores, memory_mb, accelerators))


def with_teams(placer, *teams):
    """Give a placer a newer configuration with some teams."""
    table = placer.table
    by_name = {team.name: team for team in teams}
    placer.table = replace(table, version=table.version + 1, teams=by_name)


def capped_placer(team, *queues, n_workers=2):
    placer = make_placer(*queues, n_workers=n_workers)
    with_teams(placer, team)
    return placer


def start(placer, now=NOW):
    """Decide once and have the placed tasks started; return the placements."""
    placed, _ = placer.decide(now, WALL + now - NOW)
    mark_started(placer, placed, now)
    return placed


def end(placer, placement, number, now=NOW, kind=EndKind.DONE):
    answer_renewal(
        placer,
        placement.worker_id,
        now,
        ended=(ended_row(placement, number, kind),),
        running=tuple(
            running_row(placement._replace(key=slot.key, run=slot.run))
            for slot in placer.workers[placement.worker_id].slots.values()
            if (slot.key, slot.run) != placement[1:]
        ),
    )


# Guards against a wide step that is placed as a whole, above the cap of its team, and
# against one that never goes on once the cap is reached.
@pytest.mark.parametrize(
    "cap", [{"cores": 4.5}, {"memory_mb": 450.0}, {"accelerators": 4.0}]
)
def test_a_wide_step_runs_in_waves_within_each_amount_of_the_cap(cap):
    team = make_team(**cap)
    placer = capped_placer(team)
    need = Resources(1.0, 100.0, float("accelerators" in cap))
    for name in ("w1", "w2"):
        entry = make_entry(name)
        capacity = replace(entry.capacity, accelerators=16.0)
        placer.register_worker(replace(entry, capacity=capacity), NOW)
    step = replace(make_step(10), need=need)
    submit(placer, make_job(step, team=team))
    first = start(placer)
    assert len(first) == 4
    assert start(placer) == []
    end(placer, first[0], 1)
    assert len(start(placer)) == 1


# Guards against caps on work that has none.
@pytest.mark.parametrize("team", [None, make_team()])
def test_nothing_is_limited_or_summed_without_a_cap(team):
    placer = make_placer()
    submit(placer, make_job(make_step(10), team=team))
    assert len(start(placer)) == 10
    assert placer.team_usage._pools is None


# Guards against a gang of which a part is started, and against one that keeps room
# which it may not use from others.
def test_a_gang_beyond_the_cap_waits_as_a_whole_and_keeps_no_room():
    team = make_team(cores=4.0)
    placer = capped_placer(team, n_workers=1)
    submit(placer, make_job(make_step(2), job_id="a" * 16, team=team))
    (first, _) = start(placer)
    submit(placer, make_job(make_step(3, gang=True), job_id="b" * 16, team=team))
    submit(placer, make_job(make_step(14), job_id="c" * 16))
    placed = start(placer)
    assert {item.key.job_id for item in placed} == {"c" * 16}
    assert len(placed) == 14
    assert not placer.reservations
    assert not placer.reserved
    end(placer, first, 1)
    assert start(placer) == []  # 1 + 3 cores are within the cap, but there is no room
    assert placer.reservations
    with_teams(placer, replace(team, cap=Resources(3.0)))
    assert start(placer) == []
    assert not placer.reservations


# Guards against room that is reserved for tasks which the cap does not admit.
def test_a_step_beyond_the_cap_reserves_no_worker():
    team = make_team(cores=8.0)
    placer = capped_placer(team, n_workers=1)
    submit(placer, make_job(make_step(8), job_id="a" * 16, team=team))
    start(placer)
    big = make_step(cores=16.0, run_time_s=60.0)
    submit(placer, make_job(big, job_id="b" * 16, team=make_team("u")))
    start(placer)
    assert placer.reserved  # a team without a cap waits for the worker
    placer.cancel_job("b" * 16, NOW)
    submit(placer, make_job(big, job_id="c" * 16, team=team))
    start(placer)
    assert not placer.reserved


# Guards against a step that can never start and seems to wait for its turn.
@pytest.mark.parametrize(
    ("step", "reason"),
    [
        (make_step(5, gang=True), "over_team_cap"),
        (make_step(cores=4.5), "over_team_cap"),
        (make_step(4, gang=True), "team_cap"),
        (make_step(cores=2.0), "team_cap"),
    ],
)
def test_a_wait_for_the_cap_names_team_usage_and_cap(step, reason):
    team = make_team(cores=4.0)
    placer = capped_placer(team)
    submit(placer, make_job(make_step(3), job_id="a" * 16, team=team))
    start(placer)
    submit(placer, make_job(step, job_id="b" * 16, team=team))
    with capture_logs() as logs:
        for at in (0.0, 0.5, 1.2, 1.8):
            placer.decide(NOW + at, WALL + at)
    (row,) = [row for row in logs if row["event"] == "step waits"]
    assert row["reason"] == reason
    assert (row["team"], row["team_cores"], row["cap_cores"]) == ("t", 3.0, 4.0)
    (dumped,) = longest_waits(placer, NOW + 2)
    assert (dumped["reason"], dumped["team"]) == (reason, "t")


# Guards against a run that holds capacity and isn't counted: the team would run more
# than its cap as soon as its worker answers.
@pytest.mark.parametrize(
    "state", ["unsent", "unknown", "stopping", "unreachable", "deregistered"]
)
def test_runs_whose_end_is_not_certain_count(state):
    team = make_team(cores=2.0)
    placer = capped_placer(team, n_workers=3)
    submit(placer, make_job(make_step(2), job_id="a" * 16, team=team))
    placed, _ = placer.decide(NOW, WALL)
    if state != "unsent":
        mark_started(placer, placed)
    slots = [placer.workers[row.worker_id].slots[row[1:]] for row in placed]
    if state == "unknown":
        for row, slot in zip(placed, slots, strict=True):
            slot.mark_unknown()
            placer.workers[row.worker_id].bump_fencing_token()
    elif state == "stopping":
        placer.cancel_job("a" * 16, NOW)
    elif state in {"unreachable", "deregistered"}:
        for row in placed:
            placer.worker_unreachable(row.worker_id, NOW)
            if state == "deregistered":
                placer.deregister_worker(row.worker_id)
    submit(placer, make_job(make_step(2), job_id="b" * 16, team=team))
    assert start(placer, NOW + 0.1) == []


# Guards against a retired job whose runs are no longer counted while they still run.
def test_runs_of_a_job_that_has_ended_count_until_their_end_is_known():
    team = make_team(cores=2.0)
    placer = capped_placer(team, n_workers=2)
    gang = make_step(2, gang=True, max_per_worker=1)
    submit(placer, make_job(gang, job_id="a" * 16, team=team))
    first, second = start(placer)
    end(placer, first, 1)
    assert not placer.jobs
    submit(placer, make_job(make_step(2), job_id="b" * 16, team=team))
    assert len(start(placer)) == 1
    end(placer, second, 1)
    assert len(start(placer)) == 1


def next_placer(placer, now, worker_ids):
    """Return the placer of the next term, with what the journal tells it."""
    successor = Placer(placer.term + 1, now)
    successor.table = placer.table
    for name in worker_ids:
        successor.register_worker(placer.workers[name].entry, now)
    for progress in placer.jobs.values():
        value = encode_progress(progress, now)
        taken = decode_progress(progress.job, value, now)
        taken.cancelled = progress.cancelled
        successor.add_job(taken, now)
    return successor


# Guards against a new placer that starts a team's work before it knows what the team
# has running.
@pytest.mark.parametrize("registered", [True, False])
def test_runs_of_an_earlier_term_count_from_the_first_start_of_the_next(registered):
    team = make_team(cores=16.0)
    first = capped_placer(team, n_workers=1)
    submit(first, make_job(make_step(10), job_id="a" * 16, team=team))
    placed = start(first)
    assert len(placed) == 10
    second = next_placer(first, NOW + 1, ["w1"] if registered else [])
    second.register_worker(make_entry("w2"), NOW + 1)
    answer_renewal(second, "w2", NOW + 1)
    submit(second, make_job(make_step(16), job_id="b" * 16, team=team), NOW + 1)
    assert bool(second.not_adopted) is not registered
    assert len(start(second, NOW + 1)) == 6
    if not registered:  # its registration comes late, and nothing counts twice
        second.register_worker(make_entry("w1"), NOW + 1)
        assert second.team_usage.used(second, "t").cores == 16.0
        start(second, NOW + 1)
        assert second.team_usage.used(second, "t").cores == 16.0


# Guards against a part of the cap that is lost with a job of an earlier term.
def test_a_run_done_in_an_earlier_term_no_longer_counts():
    team = make_team(cores=1.0)
    first = capped_placer(team, n_workers=1)
    submit(first, make_job(make_step(2), job_id="a" * 16, team=team))
    (placed,) = start(first)
    second = next_placer(first, NOW + 1, [])
    second.register_worker(make_entry("w2"), NOW + 1)
    answer_renewal(second, "w2", NOW + 1)
    assert start(second, NOW + 1) == []
    second.note_done(placed.key, placed.run, NOW + 1)
    assert len(start(second, NOW + 1)) == 1


# Guards against runs that are stopped for a lower cap, and against starts above it.
def test_a_lowered_cap_stops_nothing_and_starts_nothing_until_usage_is_below():
    team = make_team(cores=4.0)
    placer = capped_placer(team)
    submit(placer, make_job(make_step(10), team=team))
    placed = start(placer)
    with_teams(placer, replace(team, cap=Resources(2.0)))
    assert start(placer) == []
    assert placer.take_stops() == []
    for number, row in enumerate(placed[:2], 1):
        end(placer, row, 10 * number)
        assert start(placer) == []
    end(placer, placed[2], 30)
    assert len(start(placer)) == 1
    with_teams(placer, replace(team, cap=Resources(6.0)))
    assert len(start(placer)) == 4


# Guards against a task without accelerators that is started by a team which is above
# its cap of accelerators.
def test_nothing_is_started_while_any_amount_is_above_a_lowered_cap():
    team = make_team(cores=10.0, memory_mb=500.0)
    placer = capped_placer(team)
    submit(placer, make_job(make_step(4), job_id="a" * 16, team=team))
    start(placer)
    with_teams(placer, replace(team, cap=Resources(10.0, 300.0)))
    small = replace(make_step(), need=task_need(1.0, 0.0, 0.0))
    submit(placer, make_job(small, job_id="b" * 16, team=team))
    assert start(placer) == []


# Guards against the jobs of a removed team that are lost or run without limit.
@pytest.mark.parametrize("teams", [(), (make_team("u"),)])
def test_a_removed_team_keeps_the_cap_of_its_jobs(teams):
    team = make_team(cores=2.0)
    placer = capped_placer(team)
    with_teams(placer, *teams)
    submit(placer, make_job(make_step(5), team=team))
    assert len(start(placer)) == 2


# Guards against a moved task whose part of the cap another one takes, so that it
# stands still, and against one that counts twice while only one run exists.
def test_a_moved_task_keeps_its_part_of_the_cap():
    team = make_team(cores=2.0)
    placer = capped_placer(team)
    lasting = make_step(long_running=True, run_time_s=60.0)
    submit(placer, make_job(lasting, job_id="a" * 16, team=team))
    (placed,) = start(placer)
    placer.register_worker(
        replace(
            placer.workers[placed.worker_id].entry,
            draining=True,
            drain_left_s=5.0,
            drain_read_at=NOW,
        ),
        NOW,
    )
    placer.decide(NOW, WALL)
    assert [stop.reason for stop in placer.take_stops()] == ["evacuated"]
    submit(placer, make_job(make_step(2), job_id="b" * 16, team=team))
    (other,) = start(placer)
    assert other.key.job_id == "b" * 16
    # The moved task may not start yet, and the others may not use its part.
    placer.workers[other.worker_id].health.ejected_until = NOW + 0.5
    placer.register_worker(make_entry("w3"), NOW)
    answer_renewal(placer, "w3")
    end(placer, placed, 1, kind=EndKind.STOPPED)
    (moved,) = start(placer)
    assert moved.key == placed.key
    assert placer.team_usage.used(placer, "t").cores == 2.0


def test_the_part_of_a_moved_task_is_given_back_if_it_does_not_start():
    """Guards against a part of the cap that is kept for a move without end."""
    team = make_team(cores=1.0)
    placer = capped_placer(team)
    lasting = make_step(
        long_running=True, run_time_s=60.0, required_label="a", cores=1.0
    )
    submit(placer, make_job(lasting, job_id="a" * 16, team=team))
    (placed,) = start(placer)
    placer.register_worker(
        replace(placer.workers[placed.worker_id].entry, draining=True), NOW
    )
    placer.decide(NOW, WALL)
    assert placer.take_stops()
    end(placer, placed, 1, kind=EndKind.STOPPED)
    for name in ("w1", "w2"):  # no worker has the label any more
        entry = placer.workers[name].entry
        placer.register_worker(replace(entry, labels=("b", "r1-1")), NOW)
    submit(placer, make_job(make_step(), job_id="b" * 16, team=team))
    assert start(placer) == []
    later = NOW + HOLD_S + 0.1
    start(placer, later)
    assert len(start(placer, later)) == 1


# Guards against a task that is stopped to be moved and can't start again for its cap.
def test_above_a_lowered_cap_no_task_is_moved():
    team = make_team(cores=2.0)
    placer = capped_placer(team)
    lasting = make_step(2, long_running=True, run_time_s=60.0, may_miss=1)
    submit(placer, make_job(lasting, team=team))
    placed = start(placer)
    with_teams(placer, replace(team, cap=Resources(1.0)))
    entry = placer.workers[placed[0].worker_id].entry
    placer.register_worker(
        replace(entry, draining=True, drain_left_s=5.0, drain_read_at=NOW), NOW
    )
    placer.decide(NOW, WALL)
    assert placer.take_stops() == []


# Guards against calls for advice, which take long, on tasks that can't start.
def test_no_advice_is_asked_for_tasks_that_the_cap_does_not_admit(monkeypatch):
    team = make_team(cores=2.0)
    placer = capped_placer(team, make_queue(advice=ADVICE))
    progress = submit(placer, make_job(make_step(2), job_id="a" * 16, team=team))
    advice = placer.advice.for_step(progress.step_run(0, 0).name)
    advice.store_answer({"w1": 1, "w2": 1}, [("w1", "t")], NOW, 2.5)
    submit(placer, make_job(make_step(4), job_id="b" * 16, team=team))
    _, calls = placer.decide(NOW, WALL)
    assert calls == []
    with_teams(placer, replace(team, cap=Resources(3.0)))
    wanted = []
    choose = adviceplans.choose_advised
    monkeypatch.setattr(
        adviceplans,
        "choose_advised",
        lambda *args, **more: wanted.append(args[1]) or choose(*args, **more),
    )
    _, calls = placer.decide(NOW, WALL)
    assert len(calls) == 1
    assert wanted == [1]


# Guards against a team whose many waiting steps take the turns of all others in each
# decision although its cap admits none or only one of them.
@pytest.mark.parametrize("cores", [2.0, 3.0])
def test_the_many_steps_of_a_capped_team_take_no_turns_of_others(cores):
    team = make_team(cores=cores)
    placer = capped_placer(team)
    submit(placer, make_job(make_step(2), job_id="a" * 16, team=team))
    start(placer)
    for number in range(1000):
        job_id = f"{number:016x}"
        submit(placer, make_job(job_id=job_id, team=team, accepted_at=WALL - 1))
    submit(placer, make_job(job_id="b" * 16, accepted_at=WALL))
    placed = start(placer)
    assert "b" * 16 in {row.key.job_id for row in placed}
    assert len(placed) == cores - 1


def team_of(job_id):
    """Return the name of the team of a job of the property test."""
    return "ab"[int(job_id, 16) % 2]


class Site:
    """Workers that run what a placer starts, and faults of them and of the placer."""

    def __init__(self, caps):
        self.now = NOW
        self.caps = list(caps)
        self.jobs = []
        self.running = {}  # by worker: placements by key and run
        self.ended = {}  # by worker: rows of ends that were not acknowledged
        self.life = {}
        self.cut = set()
        self.number = 0
        self.placer = make_placer(make_queue(priority=1), n_workers=3)
        for name in self.placer.workers:
            self.running[name], self.ended[name], self.life[name] = {}, [], 1
        self.set_caps()

    def set_caps(self):
        teams = [
            make_team(n, c, weight=1.0) for n, c in zip("ab", self.caps, strict=True)
        ]
        with_teams(self.placer, *teams)

    def used(self, name):
        return sum(
            self.jobs[int(row.key.job_id, 16)].steps[row.key.step].need.cores
            for rows in self.running.values()
            for row in rows.values()
            if team_of(row.key.job_id) == name
        )

    def submit(self, pick):
        job_id = f"{len(self.jobs):016x}"
        gang, lasts = pick % 3 == 0, pick % 5 == 4
        step = make_step(
            1 + pick % 4,
            cores=float(1 + pick % 2),
            gang=gang and not lasts,
            long_running=lasts,
            may_miss=1,
        )
        team = self.placer.table.teams[team_of(job_id)]
        job = make_job(step, job_id=job_id, team=team)
        self.jobs.append(job)
        submit(self.placer, job, self.now)

    def decide(self, pick):
        """Place tasks; some starts fail or stay without an answer, unless None."""
        before = {name: self.used(name) for name in "ab"}
        self.placer.tick(self.now)
        placed, _ = self.placer.decide(self.now, WALL + self.now - NOW)
        for index, row in enumerate(placed):
            slot = self.placer.sendable_slot(row, self.now)
            if slot is None:
                continue
            worker = self.placer.workers[row.worker_id]
            outcome = 4 if pick is None else (pick + index) % 5
            if outcome == 0:  # not sent
                self.placer.release_unsent(row, "test", self.now)
                continue
            slot.sent, slot.started_at = True, self.now
            slot.fencing_token = worker.fencing_token
            arrives = outcome != 1 and row.worker_id not in self.cut
            if arrives:
                self.running[row.worker_id][row[1:]] = row
            if outcome in {1, 2} or not arrives:
                worker.bump_fencing_token()  # no answer
            else:
                slot.mark_present(
                    int(self.now * 1000), self.now, worker.entry.incarnation
                )
        for name, cap in zip("ab", self.caps, strict=True):
            assert self.used(name) <= max(cap, before[name]) + 1e-6
        for stop in self.placer.take_stops():
            if stop.worker_id not in self.cut:
                self.end_run(stop.worker_id, (stop.key, stop.run), EndKind.STOPPED)

    def end_run(self, worker_id, key, kind):
        row = self.running[worker_id].pop(key, None)
        if row is not None:
            self.number += 1
            self.ended[worker_id].append(ended_row(row, self.number, kind))

    def end(self, pick):
        rows = [(w, key) for w, rows in self.running.items() for key in rows]
        if not rows:
            return
        worker_id, (key, run) = rows[pick % len(rows)]
        step = self.jobs[int(key.job_id, 16)].steps[0]
        if step.long_running:
            self.end_run(worker_id, (key, run), EndKind.FAILED)
        elif not step.gang:
            self.end_run(worker_id, (key, run), EndKind.DONE)
        else:
            members = [r for r in rows if r[1][0][:3] == key[:3] and r[1][1] == run]
            done = len(members) == step.n_tasks
            kind = EndKind.DONE if done else EndKind.ALONE
            for name, member in members:
                self.end_run(name, member, kind)

    def report(self, pick):
        name = sorted(self.running)[pick % 3]
        if name in self.cut or name not in self.placer.workers:
            return
        self.now += 0.1
        answer_renewal(
            self.placer,
            name,
            self.now,
            running=tuple(running_row(row) for row in self.running[name].values()),
            ended=tuple(self.ended[name]),
            incarnation=self.life[name],
        )

    def cut_off(self, pick):
        name = sorted(self.running)[pick % 3]
        self.cut.add(name)
        self.placer.worker_unreachable(name, self.now)

    def lapse(self, _):
        """Let the leases of all workers that are cut off lapse, then reach them."""
        self.now += 20.0
        for name in self.cut:
            for key in list(self.running[name]):
                self.end_run(name, key, EndKind.LAPSED)
        self.placer.tick(self.now)
        self.cut.clear()

    def crash(self, pick):
        """Restart a worker under its identity."""
        name = sorted(self.running)[pick % 3]
        self.running[name], self.ended[name] = {}, []
        self.life[name] += 1
        self.cut.discard(name)
        self.register(name)

    def register(self, name):
        entry = make_entry(name, incarnation=self.life[name])
        self.placer.register_worker(entry, self.now)

    def drain(self, pick):
        name = sorted(self.running)[pick % 3]
        entry = make_entry(name, incarnation=self.life[name], draining=True)
        if name in self.placer.workers:
            self.placer.register_worker(entry, self.now)

    def change_placer(self, pick):
        """Let another placer take over; a worker may register with it later."""
        late = sorted(self.running)[pick % 3] if pick % 2 else ""
        self.now += 0.5
        names = [n for n in self.running if n != late and n in self.placer.workers]
        self.placer = next_placer(self.placer, self.now, names)
        for name in names:
            if name not in self.cut:
                self.report(sorted(self.running).index(name))

    def change_caps(self, pick):
        self.caps[pick % 2] = 2.0 + pick % 7
        self.set_caps()

    def finish(self):
        """Let all faults end; return the jobs that have tasks left to place."""
        self.caps = [8.0, 8.0]
        self.set_caps()
        self.lapse(0)
        for _ in range(20 * len(self.jobs) + 20):
            for name in self.running:
                self.register(name)
            for index in range(3):
                self.report(index)
            self.decide(None)
            rows = [(w, k) for w, rs in self.running.items() for k in rs]
            for worker_id, (key, run) in rows:
                step = self.jobs[int(key.job_id, 16)].steps[0]
                if step.long_running:
                    self.placer.cancel_job(key.job_id, self.now)
                elif (key, run) in self.running[worker_id]:
                    self.end(rows.index((worker_id, (key, run))))
            self.now += 1.0
        return list(self.placer.jobs)


OPS = (
    *(["submit"] * 4),
    *(["decide"] * 6),
    *(["end"] * 4),
    *(["report"] * 4),
    "cut_off",
    "lapse",
    "crash",
    "drain",
    "change_placer",
    "change_caps",
)


# Guards against any sequence of events after which a start takes a team above its cap,
# or after which a part of its cap is never given back.
@given(
    st.lists(st.tuples(st.sampled_from(OPS), st.integers(0, 999)), max_size=60),
    st.tuples(st.integers(1, 8), st.integers(1, 8)),
)
@settings(max_examples=150, deadline=None, derandomize=True)
def test_no_sequence_of_events_exceeds_a_cap_or_leaves_a_team_stuck(ops, caps):
    site = Site(float(cap) for cap in caps)
    for name, pick in ops:
        getattr(site, name)(pick)
    assert site.finish() == []


def play_stream(gang_cores, seconds=20):
    """Have a team submit small steps all the time, and a gang.

    Returns
    -------
    started_s : float, seconds
        When the gang started; infinite if it did not.
    least : float
        Least usage of the team while it had steps waiting, from the third second on.
    """
    team = make_team(cores=16.0)
    placer = capped_placer(team, n_workers=2)
    gang = make_step(4, cores=gang_cores / 4, gang=True)
    submit(placer, make_job(gang, job_id="f" * 16, team=team))
    ends, numbers, least = [], {"w1": 0, "w2": 0}, 16.0
    submit(placer, make_job(make_step(13, run_time_s=1.0), job_id="e" * 16, team=team))
    for tick in range(10 * seconds):
        now = NOW + tick / 10
        job_id = f"{tick:016x}"
        small = make_step(2, run_time_s=1.0)
        job = make_job(small, job_id=job_id, team=team, accepted_at=WALL + tick / 10)
        submit(placer, job, now)
        for name, n_ended in numbers.items():
            rows = []
            for row in [row for until, row in ends if until <= now]:
                if row.worker_id == name:
                    rows.append(ended_row(row, n_ended + len(rows) + 1))
            numbers[name] += len(rows)
            running = [r for until, r in ends if until > now and r.worker_id == name]
            answer_renewal(
                placer,
                name,
                now,
                running=tuple(running_row(row, 50.0) for row in running),
                ended=tuple(rows),
            )
        ends = [item for item in ends if item[0] > now]
        placed = start(placer, now)
        if any(row.key.job_id == "f" * 16 for row in placed):
            return tick / 10, least
        ends += [(now + 0.95 + 0.01 * (tick % 10), row) for row in placed]
        if tick > 30:
            least = min(least, placer.team_usage.used(placer, "t").cores)
    return math.inf, least


# Guards against a gang that never starts because the small steps of its team fill what
# becomes free of the cap, and against a team that is held back below half of its cap.
@pytest.mark.parametrize("gang_cores", [4.0, 8.0, 12.0])
def test_a_gang_starts_beside_a_stream_of_small_steps(gang_cores, monkeypatch):
    # The order alone would place the gang, which is the oldest, as soon as it may.
    monkeypatch.setattr(
        decisions,
        "order_key",
        lambda step_run, *_: (
            decisions.Rank.PATIENT,
            step_run.step.gang,
            step_run.job.accepted_at,
            step_run.name,
        ),
    )
    started_s, least = play_stream(gang_cores)
    assert least >= 8.0
    assert (started_s < 10.0) == (gang_cores <= 8.0)


# Guards against a team that is held back for a gang which can't be placed anyway.
def test_no_part_of_the_cap_is_kept_for_a_gang_that_waits_for_something_else():
    team = make_team(cores=8.0)
    placer = capped_placer(team)
    gang = make_step(4, gang=True, required_label="none")
    submit(placer, make_job(gang, job_id="f" * 16, team=team))
    submit(placer, make_job(make_step(12), job_id="a" * 16, team=team))
    placed, _ = placer.decide(NOW + 6, WALL + 6)
    assert len(placed) == 8


def most_at_a_time(history):
    """Return the most runs that were present at a time."""
    times = [(item.begun_at, 1) for item in history]
    times += [(item.ended_at or math.inf, -1) for item in history]
    n_runs = most = 0
    for _, change in sorted(times):
        n_runs += change
        most = max(most, n_runs)
    return most


# Guards against a team that exceeds its cap on real messages, between the decision on a
# start and its end, or while another placer takes over, and against a new placer that
# does not count the jobs that have ended against the team's rate.
def test_a_change_of_the_placer_keeps_a_team_within_its_cap(cluster):
    team = make_team(cores=3.0, weight=2.0)
    cluster.tables[0] = replace(cluster.tables[0], teams={team.name: team})
    jobs = [make_job(make_step(4), job_id=f"{n:016x}", team=team) for n in range(4)]

    def has_ended(job):
        node = cluster.leader()
        return node and cluster.state(node, job.job_id) is JobState.COMPLETED

    async def scenario():
        for vm in ("vm0", "vm1"):
            await cluster.start_node(vm)
        await cluster.wait_for(cluster.leader)
        first = cluster.leader()
        for job in jobs:
            await cluster.submit(first, job)
        await cluster.wait_for(lambda: has_ended(jobs[0]))
        vm = next(vm for vm, node in cluster.nodes.items() if node is first)
        await cluster.kill_node(vm)
        await cluster.wait_for(cluster.leader)
        bucket = cluster.leader().leadership.placer.shares.buckets["t"]
        assert {job_id for _, job_id in bucket.times} == {job.job_id for job in jobs}
        await cluster.wait_for(lambda: all(map(has_ended, jobs)), 30.0)
        history = cluster.workers.history()
        assert len({item.key for item in history}) == 16
        assert most_at_a_time(history) == 3

    run_to_end(scenario)
