"""Tests of what the log lines say about the absence of a long-running task."""

from __future__ import annotations

import orjson
import pytest
from structlog.testing import capture_logs

from cuminhill.clock import boottime
from cuminhill.jobs.jobindex import JobIndex
from cuminhill.jobs.leasebounds import (
    InheritedLeases,
    LeaseJournal,
    lapse_at,
    lapse_bound,
    latest_lapse_at,
)
from cuminhill.jobs.model import AdviceTerms, EndKind
from cuminhill.jobs.placer import Placer
from cuminhill.jobs.progress import decode_progress, encode_progress
from cuminhill.jobs.records import (
    JOB_PREFIX,
    LEADER_KEY,
    LEASES_KEY,
    RUN_PREFIX,
    JournalRecord,
    decode_lease_record,
    encode_job,
    encode_leader_record,
    encode_lease_record,
    make_claim,
)
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
    make_table,
    mark_started,
    running_row,
    submit,
    task_key,
)

NOW = BEGUN_AT
LIFE = ("w1", 1)
ADDRESS = "127.0.0.1:1"


def lasting(**more):
    """Return a job of one long-running task."""
    return make_job(make_step(long_running=True, **more))


def started(placer):
    """Submit a job of one long-running task and start it on w1."""
    progress = submit(placer, lasting())
    (run,) = placer.decide(NOW, WALL)[0]
    mark_started(placer, [run])
    return progress, run


def line(logs, event):
    """Return the only line of an event."""
    (found,) = [row for row in logs if row["event"] == event]
    return found


def taken_over(progress, *, inherited=None):
    """Return the next term with a job of an earlier one whose worker is not known."""
    second = Placer(2, NOW + 10)
    second.table = make_table(make_queue())
    if inherited is not None:
        second.inherited = inherited
    copy = decode_progress(progress.job, encode_progress(progress))
    second.add_job(copy, NOW + 10)
    return second, copy


class Terms:
    """Terms that follow each other on VMs with clocks of their own.

    Parameters
    ----------
    placer : Placer
        The newest term.
    """

    def __init__(self, placer):
        self.placer = placer
        self.jobs = list(placer.jobs.values())
        self.lease_journal = LeaseJournal(placer, ADDRESS)

    def change(self, now, clock):
        """Have the next term begin on a VM whose clock shows another time.

        Parameters
        ----------
        now, clock : float, seconds
            The time by the clock of the newest term, and by that of the next.
        """
        index = JobIndex()
        leases = self.lease_journal.prepare_resignation(now)
        term = self.placer.term
        claims = [make_claim(number, f"n{number}", "x") for number in (term, term + 1)]
        records = [(LEADER_KEY, encode_leader_record(claims[0]))]
        for progress in self.placer.jobs.values():
            job = progress.job
            records.append((JOB_PREFIX + job.job_id, encode_job(job)))
            value = encode_progress(progress, now)
            records.append((RUN_PREFIX + job.job_id, value))
        records.append((LEASES_KEY, encode_lease_record(leases)))
        records.append((LEADER_KEY, encode_leader_record(claims[1])))
        for key, value in records:
            index.fold(JournalRecord(0, key, value), clock)
        self.placer = Placer(term + 1, clock)
        self.placer.table = make_table(make_queue())
        self.placer.inherited = index.inherited_leases()
        for progress in index.live():
            self.placer.add_job(progress, clock)
        self.lease_journal = LeaseJournal(self.placer, ADDRESS)

    @property
    def task(self):
        """The only task in the newest term."""
        (progress,) = self.placer.jobs.values()
        return progress.task(task_key())


# Guards against a line from which the wait for the leases can't be told from the time
# until the end of the worker was noticed.
def test_a_lost_run_is_logged_with_when_it_was_seen_and_its_worker_stopped_answering():
    placer = make_placer(n_workers=1)
    _, run = started(placer)
    answer_renewal(placer, "w1", NOW + 1, running=(running_row(run),))
    placer.worker_unreachable("w1", NOW + 1.5)
    late = placer.workers["w1"].lapse_at + 0.25
    with capture_logs() as logs:
        placer.tick(late)
    row = line(logs, "run lost")
    assert row["seen_s"] == round(late - NOW - 1, 3)
    assert row["silent_s"] == round(late - NOW - 1.5, 3)
    assert (row["waited_s"], row["bound"]) == (None, "renewal")


# Guards against an end that seems to be as old as its report.
def test_an_ended_run_is_logged_with_when_it_was_seen():
    placer = make_placer(n_workers=1)
    _, run = started(placer)
    answer_renewal(placer, "w1", NOW + 1, running=(running_row(run),))
    with capture_logs() as logs:
        ended = (ended_row(run, 1, EndKind.LAPSED),)
        answer_renewal(placer, "w1", NOW + 4, ended=ended)
    assert line(logs, "run ended")["seen_s"] == 3.0


# Guards against a wait of a new term whose cause can't be found.
@pytest.mark.parametrize(
    "bound", ["listed", "predecessor ended", "earlier terms", "longest lease"]
)
def test_the_lines_of_a_run_that_is_not_adopted_name_the_bound(bound):
    progress, _ = started(make_placer(n_workers=1))
    now = NOW + 10
    inherited = {
        "listed": InheritedLeases(1, "", now + 3, {LIFE: now + 2}),
        "predecessor ended": InheritedLeases(1, "", now),
        "earlier terms": InheritedLeases(1, "", now + 3),
    }.get(bound, InheritedLeases(1))
    with capture_logs() as logs:
        second, copy = taken_over(progress, inherited=inherited)
        if bound in {"predecessor ended", "earlier terms"}:
            second.predecessor_ended_at = now + 1 if "pre" in bound else now - 9
        assert lapse_bound(second, LIFE) == bound
        second.tick(lapse_at(second, LIFE))
    row = line(logs, "run lost")
    assert row["bound"] == bound
    expected = "longest lease" if bound != "listed" else "listed"
    assert line(logs, "run not adopted")["bound"] == expected
    assert copy.step_run(0, 0).tasks[0].given_up_at == lapse_at(second, LIFE)


# Guards against a run of an earlier term on a registered worker that counts as away
# only from the end of the wait.
def test_a_run_on_a_worker_that_a_new_term_never_reached_counts_from_its_begin():
    progress, _ = started(make_placer(n_workers=1))
    second, copy = taken_over(progress)
    second.register_worker(make_entry("w1"), NOW + 10)
    with capture_logs() as logs:
        second.tick(second.workers["w1"].lapse_at + 0.1)
    row = line(logs, "run lost")
    assert (row["seen_s"], row["silent_s"]) == (None, None)
    assert row["waited_s"] == round(second.workers["w1"].lapse_at + 0.1 - NOW - 10, 2)
    assert copy.step_run(0, 0).tasks[0].away_since == second.begun_at


# Guards against an absence that seems to begin anew with each change of the placer
# while the leases on its worker run.
def test_the_silence_of_a_worker_counts_across_terms():
    placer = make_placer(n_workers=1)
    _, run = started(placer)
    answer_renewal(placer, "w1", NOW + 1, running=(running_row(run),))
    placer.worker_unreachable("w1", NOW + 1)
    terms = Terms(placer)
    terms.change(NOW + 3, 5000.0)
    terms.change(5001.5, 70.0)
    terms.placer.tick(latest_lapse_at(terms.placer))
    assert terms.task.away_since == pytest.approx(70.0 - 3.5, abs=0.01)
    assert terms.task.away_since >= 70.0 - 3.5


# Guards against the same for a worker that is registered and answers no call.
def test_the_silence_of_a_registered_worker_counts_across_terms():
    placer = make_placer(n_workers=1)
    _, run = started(placer)
    answer_renewal(placer, "w1", NOW + 1, running=(running_row(run),))
    placer.worker_unreachable("w1", NOW + 1)
    terms = Terms(placer)
    terms.change(NOW + 3, 5000.0)
    terms.placer.register_worker(make_entry("w1"), 5000.0)
    terms.change(5001.5, 70.0)
    terms.placer.register_worker(make_entry("w1"), 70.0)
    terms.placer.tick(latest_lapse_at(terms.placer) + 0.1)
    assert terms.task.away_since == pytest.approx(70.0 - 3.5, abs=0.01)


# Guards against an absence without a beginning once an earlier term has given the run
# up or seen it end, whether the journal lists a start that had no effect or not.
@pytest.mark.parametrize("assigned", [False, True])
def test_the_absence_of_a_task_counts_across_terms(assigned):
    placer = make_placer(n_workers=1)
    _, run = started(placer)
    answer_renewal(placer, "w1", NOW + 1, ended=(ended_row(run, 1, EndKind.STOPPED),))
    if assigned:
        assert len(placer.decide(NOW + 2, WALL)[0]) == 1
    terms = Terms(placer)
    terms.change(NOW + 3, 5000.0)
    terms.change(5001.5, 70.0)
    if assigned:
        terms.placer.tick(latest_lapse_at(terms.placer))
    assert not terms.task.worker
    assert terms.task.away_since == pytest.approx(70.0 - 3.5, abs=0.01)


# Guards against a task that seems to have been away since before a run that a later
# term has seen.
def test_a_run_that_is_present_ends_an_absence_of_an_earlier_term():
    placer = make_placer(n_workers=1)
    _, run = started(placer)
    answer_renewal(placer, "w1", NOW + 1, ended=(ended_row(run, 1, EndKind.STOPPED),))
    ((again,), _) = placer.decide(NOW + 2, WALL)
    terms = Terms(placer)
    terms.change(NOW + 3, 5000.0)
    second = terms.placer
    second.register_worker(make_entry("w1"), 5000.0)
    second.take_dirty()
    answer_renewal(second, "w1", 5000.5, running=(running_row(again),))
    assert terms.task.away_since == 0.0
    assert len(second.take_dirty()) == 1  # the journal says otherwise
    terms.change(5002.0, 70.0)
    assert terms.task.away_since == 0.0


# Guards against a build that can't read what one with absences has written, and the
# reverse: an earlier build reads rows of three columns and ignores keys.
def test_records_without_absences_are_read():
    placer = make_placer(n_workers=1)
    progress, _ = started(placer)
    placer.worker_unreachable("w1", NOW + 1)
    record = LeaseJournal(placer, ADDRESS).prepare(NOW + 3)
    data = orjson.loads(encode_lease_record(record))
    assert [len(row) for row in data["left_ms"]] == [3]
    assert data.pop("silent_ms") == [2000]
    (bound,) = decode_lease_record(orjson.dumps(data)).bounds
    assert bound.silent_s == 0.0
    placer.tick(placer.workers["w1"].lapse_at + 0.1)
    data = orjson.loads(encode_progress(progress, NOW + 20))
    assert data.pop("away") == [[0, 0, 0, 19_000]]
    assert "away" not in orjson.loads(encode_progress(progress))
    copy = decode_progress(progress.job, orjson.dumps(data), NOW)
    assert copy.task(task_key()).away_since == 0.0


# Guards against an absence that seems to begin with the newest start that was refused.
def test_a_start_without_effect_does_not_end_an_absence():
    placer = make_placer(n_workers=2)
    progress, run = started(placer)
    placer.worker_unreachable(run.worker_id, NOW + 1)
    late = placer.workers[run.worker_id].lapse_at + 0.1
    placer.tick(late)
    (again,) = placer.decide(late, WALL)[0]
    placer.release_unsent(again, "term not confirmed", late + 1)
    task = progress.task(task_key())
    assert (task.away_since, task.given_up_at) == (NOW + 1, late)


# Guards against a wait for advice that is taken for one for room, and the reverse.
@pytest.mark.parametrize("cause", ["advice", "room"])
def test_a_waiting_step_counts_what_it_waits_for(cause):
    queue = (
        make_queue(advice=AdviceTerms(0.4, 0.01, 2.5)) if cause == "advice" else None
    )
    placer = make_placer(*([queue] if queue else []), n_workers=1)
    cores = 1.0 if cause == "advice" else 99.0
    progress = submit(placer, lasting(cores=cores))
    for at in (0.0, 0.5, 2.0):
        assert placer.decide(NOW + at, WALL)[0] == []
    step_run = progress.step_run(0, 0)
    assert step_run.waits_for == cause
    waited = {"advice": step_run.advice_s, "room": step_run.room_s}
    assert waited.pop(cause) == 2.0
    assert list(waited.values()) == [0.0]


# Guards against a start that does not say how long its task was away, in the term that
# saw its worker go and in one that has not.
@pytest.mark.parametrize("change", [False, True])
def test_the_start_of_a_task_that_had_run_says_how_long_it_was_away(cluster, change):
    async def main():
        for worker in cluster.workers.workers.values():
            worker.hang = True  # the task lasts
        await cluster.start_node("n1")
        await cluster.wait_for(cluster.leader)
        first = cluster.leader()
        await cluster.submit(first, lasting())
        await cluster.wait_for(
            lambda: any(item.running for item in cluster.workers.workers.values())
        )
        workers = cluster.workers.workers
        name = next(name for name, item in workers.items() if item.running)
        with capture_logs() as logs:
            del workers[name]  # it answers no call from now on
            if change:
                await cluster.kill_node("n1")
                await cluster.start_node("n2")
            await cluster.wait_for(
                lambda: any(item.running for item in workers.values()), 20.0
            )
        for vm in list(cluster.nodes):
            await cluster.kill_node(vm)
        return logs

    logs = run_to_end(main)
    row = line(logs, "start")
    assert row["run"] == 2
    assert row["away_from"] == ("term begun" if change else "last run")
    assert row["away_s"] > row["given_up_s"] >= 0.0
    assert (row["advice_s"], row["room_s"]) == (0.0, 0.0)


# Guards against a line and a metric that leave out the time before the newest term: the
# rule counts it, and the margin seems larger than it is.
def test_the_absence_after_two_changes_of_the_placer_covers_the_time_before(cluster):
    async def main():
        for worker in cluster.workers.workers.values():
            worker.hang = True  # the task lasts
        for vm in ("n1", "n2", "n3"):
            await cluster.start_node(vm)
        await cluster.wait_for(cluster.leader)
        await cluster.submit(cluster.leader(), lasting())
        workers = cluster.workers.workers
        await cluster.wait_for(lambda: any(item.running for item in workers.values()))
        name = next(name for name, item in workers.items() if item.running)

        def is_listed():
            record = cluster.leader() and cluster.stored(LEASES_KEY)
            leases = record and decode_lease_record(record.value)
            term = cluster.leader().job_index.leader_record.term if leases else 0
            return leases and leases.term == term and leases.bounds

        async def end_term():
            (vm,) = (vm for vm, node in cluster.nodes.items() if node.leadership)
            await cluster.kill_node(vm)
            await cluster.wait_for(cluster.leader)

        with capture_logs() as logs:
            del workers[name]  # it answers no call from now on
            await cluster.wait_for(is_listed)
            noticed_at = boottime()
            await end_term()
            await cluster.wait_for(is_listed)
            await end_term()
            await cluster.wait_for(
                lambda: any(item.running for item in workers.values()), 20.0
            )
            known_s = boottime() - noticed_at
        (vm,) = cluster.nodes
        await cluster.kill_node(vm)
        return logs, known_s

    logs, known_s = run_to_end(main)
    row = line(logs, "start")
    assert row["run"] == 2
    assert row["away_from"] == "earlier term"
    assert known_s - 0.2 < row["away_s"] < known_s + 2.0
