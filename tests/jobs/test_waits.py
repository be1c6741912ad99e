"""Why ready steps wait: reasons, log lines, metrics and the dump."""

from __future__ import annotations

import random

import pytest
from structlog.testing import capture_logs

from cuminhill.jobs import decisions, waits
from cuminhill.jobs.headroom import HeadroomLimit
from cuminhill.jobs.model import AdviceTerms, EndKind, QueueTable
from cuminhill.jobs.progress import (
    Progress,
    StepRun,
    decode_progress,
    encode_progress,
)
from cuminhill.jobs.records import task_need
from cuminhill.jobs.waitcauses import explain_wait
from cuminhill.jobs.waitnotes import longest_waits, note_unconsidered
from cuminhill.jobs.waits import MAX_DUMPED_STEPS, WaitReason
from cuminhill.util.kernel import run_to_end

from .builders import (
    BEGUN_AT,
    WALL,
    answer_renewal,
    ended_row,
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
TOO_MANY = 99.0  # cores that no worker has


def decide_at(placer, *times):
    """Decide at some seconds of the test; return the lines about waits."""
    with capture_logs() as logs:
        for at in times:
            placer.decide(NOW + at, WALL + at)
    return [row for row in logs if row["event"] == "step waits"]


def advised():
    """Return a placer whose queue needs advice, a waiting step's advice and its job."""
    placer = make_placer(make_queue(advice=ADVICE))
    progress = submit(placer, make_job(make_step(cores=2.0)))
    return placer, placer.advice.for_step(progress.step_run(0, 0).name), progress


# Guards against a log that does not tell a missing answer from a failed or a late one.
@pytest.mark.parametrize(
    "reason", ["advice_not_asked", "advice_calling", "advice_failed", "not_permitted"]
)
def test_a_wait_for_advice_names_the_state_of_the_call(reason):
    placer, advice, _ = advised()
    if reason == "advice_calling":
        advice.calling = True
    elif reason == "advice_failed":
        advice.record_failure(NOW)
    elif reason == "not_permitted":
        advice.store_answer({"w1": 1, "w2": 1}, [], NOW, 2.5)
    (row,) = decide_at(placer, 0.0, 1.2)
    assert row["reason"] == reason
    assert (row["pool"], row["eligible"], row["wanted"]) == (2, 2, 1)
    assert row["asked"] == (2 if reason == "not_permitted" else 0)
    assert (row["permitted"], row["ticket"], row["startable"]) == (0, 0, 0)


# Guards against a failure that is named long after a later call was answered.
def test_an_answer_ends_the_state_of_a_failed_call():
    _, advice, _ = advised()
    advice.record_failure(NOW)
    assert advice.has_failed
    advice.store_answer({"w1": 1}, [], NOW + 1, 2.5)
    assert not advice.has_failed


# Guards against a lapsed ticket that is taken for a missing answer: the first is a
# question of renewals, the second of the calls.
def test_a_wait_with_permitted_workers_and_lapsed_tickets_says_so():
    placer, advice, _ = advised()
    advice.store_answer({"w1": 1, "w2": 1}, [("w1", "t")], NOW - 10.0, 2.5)
    advice.calling = True
    (row,) = decide_at(placer, 0.0, 1.2)
    assert row["reason"] == "tickets_lapsed"
    assert (row["asked"], row["permitted"], row["ticket"]) == (2, 1, 0)
    assert (row["room"], row["unheld"]) == (1, 8)


@pytest.mark.parametrize(
    ("step", "reason"),
    [
        (make_step(cores=TOO_MANY), "no_room"),
        (make_step(5, cores=16.0, gang=True), "no_room"),
        (make_step(required_label="fast"), "label"),
        (make_step(5, gang=True, max_per_worker=2), "max_per_worker"),
    ],
)
def test_a_wait_without_room_names_the_condition(step, reason):
    """Guards against a step that can never be placed and seems to want room only."""
    placer = make_placer()
    submit(placer, make_job(step))
    (row,) = decide_at(placer, 0.0, 1.2)
    assert (row["reason"], row["gang"]) == (reason, step.gang)
    assert row["cores"] == step.need.cores
    assert row["used_share"] == 0.0


def test_a_pool_without_workers_that_accept_starts_is_named():
    """Guards against lost workers that look like workers without room."""
    placer = make_placer()
    for name in ("w1", "w2"):
        placer.worker_unreachable(name, NOW)
    submit(placer, make_job())
    (row,) = decide_at(placer, 0.0, 1.2)
    assert (row["reason"], row["pool"]) == ("no_workers", 0)


def explain(step, *, n_wanted=1, advice=None, unreserved=("w1", "w2"), **more):
    """Return the cause for a step on two idle workers of 16 cores."""
    options = {"held": {}, "core_limit": None, "n_by_worker": {}, **more}
    return explain_wait(
        step,
        make_placer().workers.values(),
        unreserved,
        n_wanted=n_wanted,
        advice=advice,
        now=NOW,
        **options,
    )


@pytest.mark.parametrize(
    ("options", "reason"),
    [
        ({"unreserved": ()}, WaitReason.RESERVED),
        (
            {"held": dict.fromkeys(("w1", "w2"), task_need(16.0, 0.0, 0.0))},
            WaitReason.HELD,
        ),
        ({"core_limit": HeadroomLimit({"w1", "w2"}, 0.5)}, WaitReason.HEADROOM),
        ({"core_limit": HeadroomLimit({"w1"}, 0.5)}, WaitReason.OTHER),
        ({"n_wanted": 0}, WaitReason.RECORD_LIMIT),
    ],
)
def test_room_that_is_kept_for_others_is_told_apart(options, reason):
    """Guards against a wait for reserved or kept room that seems to be for room."""
    assert explain(make_step(), **options).reason is reason


def test_a_gang_counts_the_room_for_all_of_its_tasks():
    """Guards against a reason that looks at one task of a gang."""
    gang = make_step(20, cores=1.0, gang=True)
    assert explain(gang, n_wanted=19).reason is WaitReason.GANG_ENDING
    cause = explain(gang, n_wanted=20, unreserved=("w1",))
    assert cause.reason is WaitReason.RESERVED
    assert (cause.counts.fitting, cause.counts.unreserved) == (32, 16)
    limit = HeadroomLimit({"w1"}, 3.0)
    assert explain(gang, n_wanted=20, core_limit=limit).reason is WaitReason.HEADROOM


# Guards against a log that is silent about a step that was never looked at.
def test_steps_that_other_steps_keep_out_are_named(monkeypatch):
    monkeypatch.setattr(decisions, "MAX_STEPS_PER_DECISION", 2)
    monkeypatch.setattr(decisions, "N_TURNS_PER_DECISION", 1)
    placer = make_placer()
    for number in range(6):
        submit(placer, make_job(make_step(cores=TOO_MANY), job_id=f"{number:016x}"))
    rows = decide_at(placer, 0.0, 1.2)
    reasons = [row["reason"] for row in rows]
    assert sorted(set(reasons)) == ["no_room", "not_considered"]
    assert reasons.count("not_considered") == 4


def test_a_step_whose_queue_is_gone_is_named():
    """Guards against a job of a removed queue that waits without a line."""
    placer = make_placer()
    progress = submit(placer, make_job())
    progress.job = make_job()  # as an earlier build has left it
    placer.table = QueueTable(2, {})
    (row,) = decide_at(placer, 0.0, 1.2)
    assert row["reason"] == "queue_gone"


def test_a_term_that_may_not_act_is_named():
    """Guards against a log that tells no outage of the journal from a full pool."""
    placer = make_placer()
    submit(placer, make_job())
    with capture_logs() as logs:
        for at in (0.0, 0.6, 1.2):
            note_unconsidered(placer, NOW + at, WALL, may_act=False)
    (row,) = [row for row in logs if row["event"] == "step waits"]
    assert (row["reason"], row["waited_s"]) == ("term_inactive", 1.2)


# Guards against lines at each decision, which would push other lines out of the log.
def test_lines_come_at_changes_and_at_fixed_times_only():
    placer, advice, _ = advised()
    rows = decide_at(placer, *(0.02 * tick for tick in range(250)))
    assert [row["waited_s"] for row in rows] == [
        pytest.approx(1.0, abs=0.03),
        pytest.approx(3.0, abs=0.6),
    ]
    advice.calling = True
    (row,) = decide_at(placer, 5.6, 5.7, 6.2)
    assert row["reason"] == "advice_calling"
    advice.calling = False
    assert not decide_at(placer, 6.3)  # within a second of the line before
    assert len(decide_at(placer, 6.9)) == 1


def test_lines_of_all_steps_have_a_limit():
    """Guards against a full site whose lines about waits push out all others."""
    placer = make_placer()
    for number in range(150):
        submit(placer, make_job(make_step(cores=TOO_MANY), job_id=f"{number:016x}"))
    times = [0.0, *(1.1 + 0.02 * tick for tick in range(40))]
    rows = decide_at(placer, *times)
    assert len(rows) == waits.MAX_LINES_PER_S
    assert len({row["step"] for row in rows}) == len(rows)


def test_a_decision_explains_a_limited_number_of_steps():
    """Guards against decisions that take longer the more steps wait."""
    placer = make_placer()
    for number in range(150):
        submit(placer, make_job(make_step(cores=TOO_MANY), job_id=f"{number:016x}"))
    decide_at(placer, 0.0, 1.2)

    def n_explained():
        return sum(
            progress.step_run(0, 0).wait.cause is not None
            for progress in placer.jobs.values()
        )

    assert n_explained() == waits.MAX_EXPLAINED_STEPS
    decide_at(placer, *(1.22 + 0.02 * tick for tick in range(30)))
    assert n_explained() == 150


# Guards against a start that does not tell what its step has waited for, and against
# later starts of the step that repeat it.
def test_the_first_start_after_a_wait_tells_it():
    placer, advice, progress = advised()
    advice.calling = True
    decide_at(placer, 0.0, 1.2, 2.0)
    advice.store_answer({"w1": 1}, [("w1", "t")], NOW + 2.4, 2.5)
    decide_at(placer, 2.4)
    step_run = progress.step_run(0, 0)
    assert step_run.n_assigned == 1
    assert list(placer.ended_waits) == [("advice_calling", pytest.approx(2.4))]
    waited = step_run.take_waited()
    assert waited["step_waited_s"] == 2.4
    assert waited["step_waits"] == {"advice_calling": 1.2}  # after the first second
    assert step_run.take_waited() == {}


# Guards against a wait that seems to last since an earlier one: the step had all of its
# tasks assigned meanwhile.
def test_a_task_that_waits_again_begins_a_new_wait():
    placer = make_placer(n_workers=1)
    progress = submit(placer, make_job(make_step(run_time_s=20.0)))
    placements, _ = placer.decide(NOW, WALL)
    mark_started(placer, placements, NOW)
    end = ended_row(placements[0], 1, EndKind.STOPPED)
    answer_renewal(placer, "w1", NOW + 9, ended=(end,))
    placer.worker_unreachable("w1", NOW + 9)
    assert not decide_at(placer, 9.0, 9.9)
    assert progress.step_run(0, 0).wait.since == NOW + 9
    (row,) = decide_at(placer, 10.1)
    assert (row["reason"], row["waited_s"]) == ("no_workers", 1.1)


def test_the_dump_lists_the_longest_waits():
    """Guards against a dump that grows with the backlog or starts with short waits."""
    placer = make_placer()
    for number in range(20):
        submit(placer, make_job(make_step(cores=TOO_MANY), job_id=f"{number:016x}"))
        decide_at(placer, float(number))
    rows = longest_waits(placer, NOW + 20.0)
    assert [row["step_waited_s"] for row in rows] == [20.0 - n for n in range(10)]
    assert rows[0]["reason"] == "no_room"
    assert rows[0]["step"] == "0000000000000000.0.0"


def placer_with_waits(sinces):
    """Return a placer with a waiting step for each time since which one waits."""
    placer = make_placer()
    for number, since in enumerate(sinces):
        progress = submit(placer, make_job(job_id=f"{number:016x}"))
        progress.step_run(0, 0).wait.since = since
    return placer


# Guards against a scrape that puts a backlog of thousands in order for ten rows.
def test_the_dump_looks_only_at_the_longest_waits(monkeypatch):
    placer = placer_with_waits([NOW + number for number in range(500)])
    looked_at = []
    n_waiting = StepRun.n_waiting.fget

    def count(step_run):
        looked_at.append(step_run.name)
        return n_waiting(step_run)

    monkeypatch.setattr(StepRun, "n_waiting", property(count))
    rows = longest_waits(placer, NOW + 1e3)
    assert len(rows) == MAX_DUMPED_STEPS
    assert looked_at == [row["step"] for row in rows]


# Guards against waits that the dump leaves out, in whatever order the waits began.
@pytest.mark.parametrize("n_steps", [0, 3, MAX_DUMPED_STEPS, 200])
def test_the_dump_lists_the_first_of_all_waits_in_order(n_steps):
    rng = random.Random(5)
    sinces = [rng.choice([0.0, NOW + rng.randrange(40)]) for _ in range(n_steps)]
    placer = placer_with_waits(sinces)
    for number, progress in enumerate(placer.jobs.values()):
        progress.cancelled = number % 7 == 0
    waiting = [
        (since, number) for number, since in enumerate(sinces) if since and number % 7
    ]
    rows = longest_waits(placer, NOW + 1e3)
    expected = [f"{number:016x}.0.0" for _, number in sorted(waiting)]
    assert [row["step"] for row in rows] == expected[:MAX_DUMPED_STEPS]


# Guards against a start line, metric and dump that are not connected to the waits.
def test_a_node_shows_the_waits_of_steps(cluster):
    async def main():
        await cluster.start_node("n1")
        await cluster.wait_for(cluster.leader)
        node = cluster.leader()
        placer = node.leadership.placer
        gone = {name: placer.workers[name] for name in placer.workers}
        for worker in gone.values():
            worker.health.ejected_until = float("inf")
        with capture_logs() as logs:
            await cluster.submit(node, make_job())
            await cluster.wait_for(
                lambda: any(row["event"] == "step waits" for row in logs), 20.0
            )
            dump = node.dump()["leading"]["waiting"]
            for worker in gone.values():
                worker.health.ejected_until = 0.0
            await cluster.wait_for(
                lambda: any(row["event"] == "start" for row in logs), 20.0
            )
        text = node.metrics.render()
        await cluster.kill_node("n1")
        return logs, dump, text

    logs, dump, text = run_to_end(main)
    (start,) = [row for row in logs if row["event"] == "start"]
    assert start["step_waited_s"] >= 1.0
    assert set(start["step_waits"]) <= {"no_workers", "advice_not_asked"}
    (row,) = dump
    assert row["reason"] == "no_workers"
    assert b"step_wait_seconds_count" in text


def end_of(placer, placement, number, at):
    """Have a worker report that a run is done."""
    now = NOW + at
    answer_renewal(
        placer, placement.worker_id, now, ended=(ended_row(placement, number),)
    )


def two_steps():
    """Return a placer with a job whose second step can't be placed yet."""
    placer = make_placer()
    steps = make_step(2, cores=9.0), make_step(cores=TOO_MANY, after=(0,))
    progress = submit(placer, make_job(*steps))
    placed, _ = placer.decide(NOW, WALL)
    mark_started(placer, placed)
    for placement in placed:
        row = running_row(placement)
        answer_renewal(placer, placement.worker_id, NOW + 0.5, running=(row,))
    return placer, progress, placed


# Guards against a margin before the rule LOST breaks that is read from a wait which
# began anew with the term: the step may wait for a second, its job for ten.
def test_the_time_without_a_run_counts_across_terms():
    placer, progress, placed = two_steps()
    end_of(placer, placed[0], 1, 1.0)
    assert not progress.idle_fields(NOW + 1)
    end_of(placer, placed[1], 2, 2.0)
    stored = encode_progress(progress, NOW + 3)
    later = make_placer(term=2)
    copy = decode_progress(progress.job, stored, NOW + 8)
    later.add_job(copy, NOW + 8)
    with capture_logs() as logs:
        for at in (8.0, 9.5):
            later.decide(NOW + at, WALL + at)
    (row,) = [row for row in logs if row["event"] == "step waits"]
    assert row["waited_s"] == 1.5
    assert row["idle_s"] == pytest.approx(2.5, abs=0.01)  # from the reading on
    assert row["idle_from"] == "earlier term"
    (row,) = longest_waits(later, NOW + 10)
    assert row["idle_s"] == pytest.approx(3.0, abs=0.01)


@pytest.mark.parametrize(
    ("kind", "expected"),
    [
        ("new", (5.0, "accepted")),
        ("earlier build", (2.0, "record read")),
        ("running", None),
        ("timed", None),
    ],
)
def test_the_time_without_a_run_names_what_it_counts_from(kind, expected):
    """Guards against jobs that seem to have been taken in as they were accepted."""
    _, progress, placed = two_steps()
    if kind != "running":
        progress.unassign(placed[0].key)
        progress.unassign(placed[1].key)
    if kind == "new":
        progress = Progress(progress.job)
    elif kind == "timed":
        progress = Progress(make_job(first_due_at=WALL, period_s=9.0, n_times=2))
    else:
        progress = decode_progress(progress.job, encode_progress(progress), NOW - 2.0)
    progress.read_at = NOW - 2.0
    progress.begin_idle(NOW, WALL + 5.0)
    fields = progress.idle_fields(NOW)
    assert tuple(fields.values()) == (expected or ())


# Guards against starts without effect that seem to end the time without a run, and
# against one that goes on although a run is present.
@pytest.mark.parametrize("is_sent", [True, False])
def test_only_a_run_that_is_present_ends_the_time_without_one(is_sent):
    placer = make_placer()
    progress = submit(placer, make_job(make_step(cores=2.0)))
    progress.begin_idle(NOW + 4, WALL + 4)
    (placement,), _ = placer.decide(NOW + 4, WALL + 4)
    if is_sent:
        row = running_row(placement)
        answer_renewal(placer, placement.worker_id, NOW + 5, running=(row,))
        assert progress.idle_fields(NOW + 5) == {}
    else:
        placer.release_unsent(placement, "ticket lapsed", NOW + 5)
        assert progress.idle_fields(NOW + 5)["idle_s"] == 5.0


# Guards against a job that counts as idle only from when the lease of its last run has
# lapsed, and not from when its worker went silent.
def test_the_time_without_a_run_counts_from_the_silence_of_a_worker():
    placer, progress, placed = two_steps()
    end_of(placer, placed[0], 1, 1.0)
    worker = placer.workers[placed[1].worker_id]
    placer.worker_unreachable(worker.worker_id, NOW + 2.0)
    placer.tick(max(worker.lapse_at, NOW + 2.0) + 0.1)
    assert progress.idle_fields(NOW + 12.0)["idle_s"] >= 10.0
    assert progress.idle_from == "last run"
