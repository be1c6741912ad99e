"""Tests of the limit on tasks that crash the workers that start them."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cuminhill.jobs.crashes import (
    CLEAR_S,
    MAX_CRASHES,
    MAX_START_CRASHES,
)
from cuminhill.jobs.fleet import PROBATION_S
from cuminhill.jobs.model import (
    EndKind,
    JobState,
    StartReply,
    StartResult,
)
from cuminhill.jobs.placer import Placer
from cuminhill.jobs.progress import crash_rows, decode_progress, encode_progress
from cuminhill.util.coincidence import RATE_WINDOWS_S

from .builders import (
    BEGUN_AT,
    WALL,
    answer_renewal,
    ended_row,
    make_entry,
    make_job,
    make_placer,
    make_queue,
    make_report,
    make_step,
    make_table,
    mark_started,
    running_row,
    send_start,
    submit,
    task_key,
)

# By then the placer has observed that workers do not crash by themselves.
NOW = BEGUN_AT + max(RATE_WINDOWS_S)
# A crashing worker closes its connections this long after the start of the task.
CRASH_AFTER_S = 0.01
RESTART_S = 3.0
MAX_STARTS = 5  # three crashes and two more starts


def crash_worker(placer, worker_id, at, *, closed=True):
    """Crash a worker, and have a process with another id start at its address."""
    worker = placer.workers[worker_id]
    placer.worker_unreachable(worker_id, at, closed=closed)
    placer.other_incarnation(worker_id, worker.entry.incarnation, at + RESTART_S)
    placer.tick(at + RESTART_S)


def crash_together(placer, worker_ids, at):
    """Crash some workers at once; as many others take their place."""
    for worker_id in worker_ids:
        placer.worker_unreachable(worker_id, at, closed=True)
    for worker_id in worker_ids:
        incarnation = placer.workers[worker_id].entry.incarnation
        placer.other_incarnation(worker_id, incarnation, at + RESTART_S)
    placer.tick(at + RESTART_S)
    for worker_id in worker_ids:
        add_worker(placer, f"{worker_id}n", at + RESTART_S)


def add_worker(placer, worker_id, at, **more):
    """Register a worker that has answered its first renewal."""
    incarnation = int(at * 1000)
    placer.register_worker(make_entry(worker_id, incarnation=incarnation, **more), at)
    answer_renewal(placer, worker_id, at, incarnation=incarnation)


def start_all(placer, now):
    """Start all placements of one decision; return them."""
    placements, _ = placer.decide(now, WALL)
    mark_started(placer, placements, now)
    return placements


def survive(placer, placements, since):
    """Have the workers list runs that have survived their start."""
    now = since + 2 * PROBATION_S
    for worker_id in {item.worker_id for item in placements}:
        rows = [running_row(item) for item in placements if item.worker_id == worker_id]
        answer_renewal(placer, worker_id, now, running=tuple(rows))
    return now


def follow(placer, term=2):
    """Return the placer of the next term, which knows what is in the journal."""
    following = Placer(term, BEGUN_AT)
    following.table = placer.table
    for worker in placer.workers.values():
        following.register_worker(worker.entry, BEGUN_AT)
    for progress in placer.jobs.values():
        copy = decode_progress(progress.job, encode_progress(progress))
        following.add_job(copy, BEGUN_AT)
    return following


@pytest.fixture
def placer():
    """Return a placer with six workers."""
    return make_placer(n_workers=6)


# Guards against one task that takes down worker after worker without end (rule BUDGET).
def test_a_task_that_crashes_each_worker_is_given_up(placer):
    progress = submit(placer, make_job())
    now, n_starts = NOW, 0
    while progress.state is not JobState.FAILED and n_starts <= MAX_STARTS:
        for placement in start_all(placer, now):
            n_starts += 1
            crash_worker(placer, placement.worker_id, now + CRASH_AFTER_S)
            add_worker(placer, f"n{n_starts}", now + RESTART_S)
        now += RESTART_S + 0.5
    assert progress.state is JobState.FAILED
    assert n_starts == 2
    assert not placer.jobs


# Guards against an endless retry of a task that crashes its workers late in its run.
def test_a_task_that_crashes_workers_late_is_given_up_too(placer):
    progress = submit(placer, make_job())
    now, n_starts = NOW, 0
    while progress.state is not JobState.FAILED and n_starts <= MAX_STARTS:
        placements = start_all(placer, now)
        n_starts += len(placements)
        now = survive(placer, placements, now)
        for placement in placements:
            crash_worker(placer, placement.worker_id, now)
            add_worker(placer, f"n{n_starts}", now + RESTART_S)
        now += RESTART_S + 0.5
    assert n_starts == MAX_CRASHES


# Guards against failed jobs whose tasks only happened to run on a worker that crashed.
def test_tasks_that_have_survived_their_start_are_not_suspected(placer):
    innocent = submit(placer, make_job(make_step(12, cores=8.0)))
    placements = start_all(placer, NOW)
    now = survive(placer, placements, NOW)
    for placement in placements[:1]:
        answer_renewal(
            placer, placement.worker_id, now, ended=(ended_row(placement, 1),)
        )
    deadly = submit(placer, make_job(make_step(cores=1.0), job_id="d" * 16))
    (start,) = start_all(placer, now)
    crash_worker(placer, start.worker_id, now + CRASH_AFTER_S)
    assert crash_rows(deadly) == [[0, 0, 0, 1, 1]]
    assert crash_rows(innocent) == []


# Guards against counts that begin anew with each placer, so that no limit is reached.
def test_crashes_are_counted_across_changes_of_the_placer(placer):
    progress = submit(placer, make_job())
    (start,) = start_all(placer, NOW)
    crash_worker(placer, start.worker_id, NOW + CRASH_AFTER_S)
    second = follow(placer)
    for worker_id in second.workers:
        answer_renewal(second, worker_id, NOW + 4)
    (start,) = start_all(second, NOW + 4)
    crash_worker(second, start.worker_id, NOW + 4 + CRASH_AFTER_S)
    assert second.jobs == {}
    assert progress.state is JobState.RUNNING  # the copy of the first term


# Guards against jobs of a roll-back: an older build reads the records of this one.
def test_the_rows_of_a_record_stay_as_older_builds_read_them(placer):
    progress = submit(placer, make_job(make_step(2)))
    (start, _) = start_all(placer, NOW)
    crash_worker(placer, start.worker_id, NOW + CRASH_AFTER_S)
    data = orjson.loads(encode_progress(progress))
    rows = [row for _, _, _, step_rows in data["steps"] for row in step_rows]
    assert rows
    assert {len(row) for row in rows} == {3}


# Guards against failed jobs after a cut: a silent worker is no crashed one.
def test_a_lapsed_lease_alone_is_no_crash(placer):
    progress = submit(placer, make_job())
    now = NOW
    for _ in range(MAX_CRASHES + 1):
        (start,) = start_all(placer, now)
        placer.worker_unreachable(start.worker_id, now + CRASH_AFTER_S)
        now += placer.times.lease.lapse_s + 10
        placer.tick(now)
        answer_renewal(placer, start.worker_id, now)
    assert progress.state is JobState.RUNNING
    assert crash_rows(progress) == []


# Guards against a task without limit whose workers are away for longer than a lease.
def test_a_crash_counts_when_it_shows_only_after_the_lease(placer):
    progress = submit(placer, make_job())
    (start,) = start_all(placer, NOW)
    address = placer.workers[start.worker_id].entry.address
    placer.worker_unreachable(start.worker_id, NOW + CRASH_AFTER_S, closed=True)
    placer.deregister_worker(start.worker_id)
    now = NOW + placer.times.lease.lapse_s + 10
    placer.tick(now)
    assert crash_rows(progress) == []
    placer.register_worker(make_entry("n1", incarnation=2, address=address), now)
    assert crash_rows(progress) == [[0, 0, 0, 1, 1]]


# Guards against blame for a planned exit of a worker.
def test_the_end_of_a_draining_worker_is_no_crash(placer):
    progress = submit(placer, make_job())
    (start,) = start_all(placer, NOW)
    placer.register_worker(make_entry(start.worker_id, draining=True), NOW)
    crash_worker(placer, start.worker_id, NOW + 0.1)
    assert crash_rows(progress) == []


# Guards against blame for a start that never took effect: the crash came before it.
def test_a_start_answered_by_the_next_incarnation_is_not_suspected(placer):
    progress = submit(placer, make_job())
    (placement,), _ = placer.decide(NOW, WALL)
    send_start(placer, placement, StartReply(StartResult.OTHER_INCARNATION), NOW)
    assert crash_rows(progress) == []
    assert progress.n_assigned == 0


# Guards against jobs shown as failed although no run of them failed (rule LOST): a task
# is not to blame for a worker that its start cannot have reached.
def test_a_start_that_a_silent_worker_has_not_answered_is_no_evidence(placer):
    progress = submit(placer, make_job())
    for number in range(MAX_CRASHES + 1):
        now = NOW + 4 * number
        (placement,), _ = placer.decide(now, WALL)
        worker_id = placement.worker_id
        send_start(placer, placement, StartReply(StartResult.UNKNOWN), now)
        placer.worker_unreachable(worker_id, now + 0.7)
        incarnation = placer.workers[worker_id].entry.incarnation
        placer.other_incarnation(worker_id, incarnation, now + 1.0)
        placer.tick(now + 1.0)
        add_worker(placer, f"n{number}", now + 1.0)
    assert progress.state is JobState.PENDING  # no start is known to have had an effect
    assert crash_rows(progress) == []


# Guards against a task without limit that crashes workers before a start is answered.
def test_a_start_cut_off_by_the_end_of_its_worker_is_evidence(placer):
    progress = submit(placer, make_job())
    for number in range(MAX_START_CRASHES):
        now = NOW + 4 * number
        (placement,), _ = placer.decide(now, WALL)
        send_start(placer, placement, StartReply(StartResult.UNKNOWN), now)
        crash_worker(placer, placement.worker_id, now + CRASH_AFTER_S)
    assert progress.state is JobState.FAILED


# Guards against failed jobs on a day on which workers crash by themselves (rule LOST):
# tasks meet several crashes by chance, of workers that go silent and of others.
@pytest.mark.parametrize("closed", [True, False])
@pytest.mark.parametrize("quiet_s", [10.0, 60.0])
@pytest.mark.parametrize("seed", range(3))
def test_workers_that_crash_in_series_blame_no_task(seed, quiet_s, closed):
    series = CrashSeries(random.Random(seed), closed, now=BEGUN_AT + quiet_s)
    for _ in range(35):
        series.advance()
    states = {progress.state for progress in series.jobs}
    assert JobState.FAILED not in states
    assert JobState.COMPLETED in states
    assert series.placer.counts["worker_crashes"] > 100


# Guards against a deadly task without limit (rule BUDGET) while a new placer does not
# know yet how often workers crash by themselves.
def test_a_new_placer_gives_a_deadly_task_up_as_well():
    placer = make_placer(n_workers=24)
    progress = submit(placer, make_job())
    n_starts = 0
    while progress.state is not JobState.FAILED and n_starts <= MAX_STARTS:
        now = BEGUN_AT + 1.0 + 4 * n_starts
        (start,) = start_all(placer, now)
        n_starts += 1
        crash_worker(placer, start.worker_id, now + CRASH_AFTER_S)
    assert progress.state is JobState.FAILED
    assert n_starts <= MAX_STARTS


# Guards against blame by a placer that does not know how long a run had been present.
def test_runs_of_an_earlier_term_are_suspected_but_not_blamed(placer):
    submit(placer, make_job())
    for number in range(MAX_START_CRASHES):
        now = NOW + 4 * number
        (start,) = start_all(placer, now)
        placer = follow(placer, term=number + 2)
        crash_worker(placer, start.worker_id, now + 0.1)
        for worker_id in placer.workers:
            answer_renewal(placer, worker_id, now + 4)
    (progress,) = placer.jobs.values()
    assert progress.state is JobState.RUNNING
    assert crash_rows(progress) == [[0, 0, 0, MAX_START_CRASHES, 0]]


# Guards against blame on a day on which many workers crash, each with a suspect.
def test_suspects_on_many_workers_that_crash_together_are_not_to_blame(placer):
    for number in range(6):
        submit(placer, make_job(make_step(cores=16.0), job_id=f"{number:016x}"))
    for number in range(MAX_START_CRASHES):
        now = NOW + 4 * number
        starts = start_all(placer, now)
        crash_together(placer, [item.worker_id for item in starts], now + CRASH_AFTER_S)
    assert {item.state for item in placer.jobs.values()} == {JobState.RUNNING}


# Guards against blame for a cause outside the tasks, such as a rack without power.
def test_workers_that_crash_together_blame_no_task(placer):
    jobs = [
        submit(placer, make_job(make_step(cores=16.0), job_id=f"{number:016x}"))
        for number in range(3)
    ]
    for number in range(MAX_START_CRASHES):
        now = NOW + 4 * number
        assert len(start_all(placer, now)) == 3
        crash_together(placer, list(placer.workers), now + CRASH_AFTER_S)
    assert [progress.state for progress in jobs] == [JobState.RUNNING] * 3


# Guards against a crash that takes other suspects along, which leaves the cause open.
def test_suspects_start_apart_and_nothing_starts_beside_them(placer):
    submit(placer, make_job(make_step(3, cores=1.0)))
    starts = start_all(placer, NOW)
    assert len({item.worker_id for item in starts}) == 1
    crash_worker(placer, starts[0].worker_id, NOW + CRASH_AFTER_S)
    now = NOW + 4
    again = start_all(placer, now)
    assert len({item.worker_id for item in again}) == 3
    submit(placer, make_job(make_step(32, cores=1.0), job_id="b" * 16))
    beside = start_all(placer, now)
    assert not {item.worker_id for item in again} & {item.worker_id for item in beside}
    later = survive(placer, again, now)
    submit(placer, make_job(make_step(40, cores=1.0), job_id="c" * 16))
    assert {item.worker_id for item in again} & {
        item.worker_id for item in start_all(placer, later)
    }


# Guards against crashes without blame because several deadly tasks start together.
def test_suspects_that_crash_together_are_each_to_blame():
    placer = make_placer(n_workers=24)
    jobs = [
        submit(placer, make_job(make_step(cores=16.0), job_id=f"{number:016x}"))
        for number in range(3)
    ]
    for number in range(MAX_START_CRASHES):
        now = NOW + 4 * number
        starts = start_all(placer, now)
        crash_together(placer, [item.worker_id for item in starts], now + CRASH_AFTER_S)
    assert [progress.state for progress in jobs] == [JobState.FAILED] * 3


# Guards against blame for the crash of a task that starts beside a suspect.
def test_a_crash_with_two_candidates_gives_up_no_task(placer):
    progress = submit(placer, make_job())
    (start,) = start_all(placer, NOW)
    placer.worker_unreachable(start.worker_id, NOW + CRASH_AFTER_S, closed=True)
    submit(placer, make_job(make_step(5, cores=14.0), job_id="b" * 16))
    beside = start_all(placer, NOW + RESTART_S)
    assert len({item.worker_id for item in beside}) == 5
    crash_worker(placer, start.worker_id, NOW + CRASH_AFTER_S)
    (again,) = start_all(placer, NOW + RESTART_S + 0.1)
    crash_worker(placer, again.worker_id, NOW + RESTART_S + 0.2)
    assert progress.state is JobState.RUNNING
    assert crash_rows(progress) == [[0, 0, 0, 2, 2]]


# Guards against workers lost for nothing: the next crash should have few victims.
def test_a_suspect_starts_on_a_worker_that_runs_little(placer):
    submit(placer, make_job())
    (start,) = start_all(placer, NOW)
    submit(placer, make_job(make_step(64, cores=1.0), job_id="b" * 16))
    start_all(placer, NOW)
    crash_worker(placer, start.worker_id, NOW + CRASH_AFTER_S)
    least = min(placer.workers.values(), key=lambda worker: len(worker.slots))
    again, _ = placer.decide(NOW + 4, WALL)
    suspects = [item for item in again if item.key.job_id == start.key.job_id]
    assert [item.worker_id for item in suspects] == [least.worker_id]


# Guards against dumps and records that look at all tasks of all jobs for crashes.
@pytest.mark.parametrize("reads_back", [False, True])
def test_jobs_without_crashes_are_not_searched_for_them(placer, n_lines, reads_back):
    progress = submit(placer, make_job(make_step(500, cores=0.1)))
    assert len(start_all(placer, NOW)) == 500
    if reads_back:
        progress = decode_progress(progress.job, encode_progress(progress))
    assert n_lines(lambda: crash_rows(progress)) < 10
    progress.set_crashes(progress.task(task_key(499)), 1, 0)
    progress.set_crashes(progress.task(task_key(7)), 2, 1)
    assert crash_rows(progress) == [[0, 0, 7, 2, 1], [0, 0, 499, 1, 0]]


# Guards against blame that a task keeps although it has run well elsewhere since.
def test_a_run_that_survives_clears_its_task(placer):
    progress = submit(placer, make_job())
    (start,) = start_all(placer, NOW)
    crash_worker(placer, start.worker_id, NOW + CRASH_AFTER_S)
    (again,) = start_all(placer, NOW + 4)
    survive(placer, [again], NOW + 4)
    assert crash_rows(progress) == [[0, 0, 0, 1, 0]]
    answer_renewal(
        placer, again.worker_id, NOW + 4 + CLEAR_S, running=(running_row(again),)
    )
    assert crash_rows(progress) == []
    assert placer.workers[again.worker_id].n_suspects == 0


# Guards against a gang that crashes workers without end, each member counted apart.
def test_the_members_of_a_gang_count_as_one():
    placer = make_placer(n_workers=24)
    progress = submit(placer, make_job(make_step(4, cores=12.0, gang=True)))
    now = NOW
    for number in range(MAX_START_CRASHES):
        starts = start_all(placer, now)
        assert len(starts) == 4
        crash_worker(placer, starts[number].worker_id, now + CRASH_AFTER_S)
        add_worker(placer, f"n{number}", now + RESTART_S)
        for item in starts:
            if item.worker_id in placer.workers:
                end = ended_row(item, number + 1, EndKind.BROKEN)
                answer_renewal(placer, item.worker_id, now + 3, ended=(end,))
        now += 4
    assert progress.state is JobState.FAILED


# Guards against a lasting task that crashes workers for as long as its job exists.
def test_a_lasting_task_that_crashes_each_worker_is_given_up(placer):
    progress = submit(placer, make_job(make_step(long_running=True)))
    for number in range(MAX_START_CRASHES):
        now = NOW + 4 * number
        (start,) = start_all(placer, now)
        crash_worker(placer, start.worker_id, now + CRASH_AFTER_S)
    assert progress.state is JobState.FAILED


@dataclass
class CrashSeries:
    """Workers that crash in series without a task that is to blame.

    Parameters
    ----------
    closed : bool
        Whether a worker that crashes closes its connections; else it goes silent.
    """

    rng: random.Random
    closed: bool
    placer: Placer = field(default_factory=lambda: make_placer(n_workers=24))
    jobs: list = field(default_factory=list)
    runs: list = field(default_factory=list)
    n_workers: int = 0
    now: float = BEGUN_AT

    def advance(self):
        """Start jobs, crash a sixth of the workers one by one, and end runs."""
        for _ in range(6):
            step = make_step(6, cores=2.5, run_time_s=self.rng.choice([0.8, 3.8]))
            job = make_job(step, job_id=f"{len(self.jobs):016x}")
            self.jobs.append(submit(self.placer, job, self.now))
        started = start_all(self.placer, self.now)
        self.runs += [
            (self.now + self.rng.choice([0.8, 3.8]), item) for item in started
        ]
        crashed = self.rng.sample(sorted(self.placer.workers), 4)
        moments = sorted((self.rng.uniform(0.0, 1.2), item) for item in crashed)
        for after_s, worker_id in moments:
            noticed_s = after_s if self.closed else max(after_s, 1.2)
            self.placer.worker_unreachable(
                worker_id, self.now + noticed_s, closed=self.closed
            )
        self.now += 1.3
        for _, worker_id in moments:
            incarnation = self.placer.workers[worker_id].entry.incarnation
            self.placer.other_incarnation(worker_id, incarnation, self.now)
        self.placer.tick(self.now)
        for _ in crashed:
            self.n_workers += 1
            add_worker(self.placer, f"n{self.n_workers}", self.now)
        self._report()

    def _report(self):
        """Have each worker list its runs; those whose time is over have ended."""
        for worker_id, worker in list(self.placer.workers.items()):
            ours = [row for row in self.runs if row[1].worker_id == worker_id]
            ours = [row for row in ours if (row[1].key, row[1].run) in worker.slots]
            over = [item for ends_at, item in ours if ends_at <= self.now]
            self.placer.process_report(
                worker_id,
                worker.fencing_token,
                make_report(
                    self.now,
                    tuple(running_row(item) for _, item in ours if item not in over),
                    tuple(
                        ended_row(item, worker.last_seen_end + number)
                        for number, item in enumerate(over, 1)
                    ),
                    worker.entry.incarnation,
                ),
                self.now,
            )


@dataclass
class Play:
    """Play of jobs on workers, some tasks of which crash each worker.

    Parameters
    ----------
    n_starts : dict
        Starts of each task.
    crash_fraction : float
        Fraction of the workers that crash by themselves in each round.
    """

    rng: random.Random
    crash_fraction: float
    placer: Placer = field(default_factory=lambda: make_placer(n_workers=8))
    deadly: set = field(default_factory=set)
    n_starts: dict = field(default_factory=dict)
    n_workers: int = 0
    term: int = 1
    now: float = NOW

    def round(self):
        """Start what can start, crash workers and end the runs that survive."""
        crashed, present = set(), []
        for placement in start_all(self.placer, self.now):
            self.n_starts[placement.key] = self.n_starts.get(placement.key, 0) + 1
            present.append(placement)
            if placement.key in self.deadly:
                crashed.add(placement.worker_id)
        self.placer.take_dirty()
        others = sorted(self.placer.workers.keys() - crashed)
        n_crashes = int(self.crash_fraction * len(others))
        crashed |= set(self.rng.sample(others, n_crashes))
        for worker_id in sorted(crashed):
            crash_worker(self.placer, worker_id, self.now + CRASH_AFTER_S)
            self.n_workers += 1
            add_worker(self.placer, f"n{self.n_workers}", self.now + RESTART_S)
        survivors = [item for item in present if item.worker_id not in crashed]
        self.now = max(self.now + RESTART_S, survive(self.placer, survivors, self.now))
        for placement in survivors:
            worker = self.placer.workers[placement.worker_id]
            end = ended_row(placement, worker.last_seen_end + 1)
            answer_renewal(
                self.placer,
                placement.worker_id,
                self.now,
                ended=(end,),
                incarnation=worker.entry.incarnation,
            )
        self.now += 1.0

    def change_placer(self):
        """Replace the placer by one that knows what is in the journal."""
        self.term += 1
        self.placer = follow(self.placer, self.term)
        for worker in self.placer.workers.values():
            answer_renewal(
                self.placer,
                worker.worker_id,
                self.now,
                incarnation=worker.entry.incarnation,
            )


# Guards against a limit that holds only for one deadly task, one worker or one placer.
@settings(max_examples=40, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 1 << 30),
    n_deadly=st.integers(0, 4),
    changes=st.sets(st.integers(1, 8), max_size=3),
    crash_fraction=st.sampled_from([0.0, 0.25]),
)
def test_deadly_tasks_are_bounded_and_all_other_jobs_complete(
    seed, n_deadly, changes, crash_fraction
):
    rng = random.Random(seed)
    play = Play(rng, crash_fraction)
    play.placer.table = make_table(make_queue())
    jobs = []
    for number in range(12):
        job = make_job(
            make_step(rng.randint(1, 4), cores=rng.choice([1.0, 2.0, 4.0])),
            job_id=f"{number:016x}",
        )
        jobs.append(submit(play.placer, job))
        if number < n_deadly:
            play.deadly.add(next(iter(jobs[-1].ready_steps(WALL))).key(0))
    states = {progress.job.job_id: progress for progress in jobs}
    for number in range(20):
        play.round()
        if number in changes:
            play.change_placer()
        states.update(play.placer.jobs)
    assert all(play.n_starts[key] <= MAX_STARTS for key in play.deadly)
    if crash_fraction:
        return  # each crash follows the starts of its round, so it seems to be caused
    deadly_jobs = {key.job_id for key in play.deadly}
    for job_id, progress in states.items():
        if job_id in deadly_jobs:
            assert progress.state is JobState.FAILED
        else:
            assert progress.state is JobState.COMPLETED


# Guards against a crash that no term counts: the worker restarted while the placer
# changed, so the next term reads of the new incarnation first.
def test_a_crash_during_a_change_of_the_placer_counts_against_the_task():
    first = make_placer(n_workers=1)
    progress = submit(first, make_job(make_step(long_running=True)))
    mark_started(first, first.decide(NOW, WALL)[0])
    second = make_placer(n_workers=0, term=2)
    second.register_worker(make_entry("w1", incarnation=2), NOW)
    copy = decode_progress(progress.job, encode_progress(progress))
    second.add_job(copy, NOW)
    answer_renewal(second, "w1", NOW, incarnation=2)
    task = copy.step_run(0, 0).tasks[0]
    assert not task.worker
    assert task.n_crashes == 1
