"""Tests of the decision on new jobs, each under a load that it names."""

from __future__ import annotations

import random
from collections import Counter, deque
from dataclasses import dataclass, field, replace

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cuminhill.jobs.admission import Admission, IndexState, Reason, tokens_used
from cuminhill.jobs.jobindex import JobIndex
from cuminhill.jobs.jobload import MAX_GROUPS, JobLoad
from cuminhill.jobs.model import JobState, Team
from cuminhill.jobs.records import (
    CANCEL_PREFIX,
    JOB_PREFIX,
    LEADER_KEY,
    RUN_PREFIX,
    JournalRecord,
    encode_job,
    encode_leader_record,
    make_claim,
    task_need,
)

from .builders import make_job, make_queue, make_step, make_table

WEIGHT = 2.0  # jobs per second that a team is entitled to
USUAL_RATE = 1.0  # jobs per second that it usually submits
N_TEAMS = 20
FLOOD = "team0"
STEP_S = 0.05  # of the simulated time
READ_S = 0.25  # pause between two reads of a VM
RENEWAL_S = 0.6  # interval between records of the placer
STARTED = orjson.dumps({"state": "running"})
PLACED = orjson.dumps({"state": "running", "unstarted": 1})
REFUSED = orjson.dumps({"state": "running", "unstarted": 0})
FRESH = IndexState()


def make_team(name="team0", weight=WEIGHT):
    return Team(name, weight, task_need(0.0, 0.0, 0.0))


def make_team_table(*queues, n_teams=N_TEAMS, weight=WEIGHT):
    teams = {f"team{i}": make_team(f"team{i}", weight) for i in range(n_teams)}
    return replace(make_table(*(queues or (make_queue(),))), teams=teams)


TABLE = make_team_table()


@dataclass
class Site:
    """Several VMs with an index each, and one pool, on simulated time.

    The placer begins waiting jobs in the order of acceptance, at a rate.
    """

    n_vms: int = 6
    starts_per_s: float = 100.0
    table: object = TABLE
    latency_s: float = 0.05  # of an append
    read_s: float = READ_S  # time between two reads of a VM
    now: float = 1000.0
    reads: bool = True  # whether VMs can read the journal
    places: bool = True  # whether there is a placer
    term: int = 1
    journal: list = field(default_factory=list)
    accepted: Counter = field(default_factory=Counter)
    refused: Counter = field(default_factory=Counter)
    accepted_ids: list = field(default_factory=list)
    refused_ids: list = field(default_factory=list)
    retry_after_s: list = field(default_factory=list)

    def __post_init__(self):
        self.rng = random.Random(1)
        self.indexes = [JobIndex() for _ in range(self.n_vms)]
        self.admissions = [Admission(index.job_load) for index in self.indexes]
        self.offsets = [0] * self.n_vms
        self.read_at = [self.now - i * READ_S / self.n_vms for i in range(self.n_vms)]
        self.in_append = deque()
        self.waiting = deque()
        self.budget = 0.0
        self.renewed_at = 0.0
        self.owed = Counter()
        self.n_submitted = 0

    def store(self, key, value):
        self.journal.append(JournalRecord(len(self.journal), key, value))

    def state(self, vm):
        age_s = self.now - self.read_at[vm]
        return IndexState(age_s, self.latency_s, self.n_vms)

    def submit(self, team, vm=None):
        vm = self.rng.randrange(self.n_vms) if vm is None else vm
        self.n_submitted += 1
        job = make_job(job_id=f"{self.n_submitted:016x}", team=self.table.teams[team])
        admission, state = self.admissions[vm], self.state(vm)
        refusal = admission.decide(job, self.table, state, self.now)
        if refusal is None:
            admission.begin_append(job, self.table, state, self.now)
            self.in_append.append((self.now + self.latency_s, vm, job))
            self.accepted[team] += 1
            self.accepted_ids.append(job.job_id)
        else:
            admission.note_refusal(job, refusal, self.now)
            self.refused[team, refusal.reason] += 1
            self.refused_ids.append(job.job_id)
            self.retry_after_s.append(refusal.retry_after_s)
        return refusal

    def run(self, seconds, rates=None):
        """Advance the time; each team submits at a rate, in jobs per second."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self._end_appends()
            self._place()
            for vm in range(self.n_vms):
                if self.reads and self.now - self.read_at[vm] >= self.read_s:
                    self._read(vm)
            for team, rate in (rates or {}).items():
                self.owed[team] += rate * STEP_S
                while self.owed[team] >= 1:
                    self.owed[team] -= 1
                    self.submit(team)

    def _end_appends(self):
        while self.in_append and self.in_append[0][0] <= self.now:
            _, vm, job = self.in_append.popleft()
            key, value = JOB_PREFIX + job.job_id, encode_job(job)
            self.store(key, value)
            self.waiting.append(job.job_id)
            self.admissions[vm].end_append(job)
            self.indexes[vm].fold(JournalRecord(-1, key, value), self.now)

    def _place(self):
        if not self.places:
            return
        if self.now - self.renewed_at >= RENEWAL_S:
            self.renewed_at = self.now
            claim = make_claim(self.term, "a", "n")
            self.store(LEADER_KEY, encode_leader_record(claim))
        self.budget = min(self.starts_per_s, self.budget + self.starts_per_s * STEP_S)
        while self.waiting and self.budget >= 1:
            self.budget -= 1
            self.store(RUN_PREFIX + self.waiting.popleft(), STARTED)

    def _read(self, vm):
        load = self.indexes[vm].job_load
        load.begin_read(self.read_at[vm], self.now)
        for record in self.journal[self.offsets[vm] :]:
            self.indexes[vm].fold(record, self.now)
        load.end_read()
        self.offsets[vm] = len(self.journal)
        self.read_at[vm] = self.now

    def mark(self):
        """Forget what was accepted and refused so far."""
        self.accepted.clear()
        self.refused.clear()
        self.retry_after_s.clear()

    @property
    def n_refused(self):
        return self.refused.total()


def usual_rates(flood=1.0):
    rates = {f"team{i}": USUAL_RATE for i in range(N_TEAMS)}
    return rates | {FLOOD: USUAL_RATE * flood}


def busy_site(**more):
    """Return a site whose pool begins less than the teams usually submit."""
    site = Site(starts_per_s=12.0, **more)
    site.run(8.0, usual_rates())
    site.mark()
    return site


@pytest.mark.parametrize("n_vms", [1, 6, 34])
def test_of_one_team_far_above_its_rate_only_the_surplus_is_refused(n_vms):
    """Guards against refusals of others, and of what the team is entitled to.

    Load: one team among 20 at eight times its usual rate while the pool is busy.
    """
    site = busy_site(n_vms=n_vms)
    site.run(20.0, usual_rates(flood=8.0))
    assert {team for team, _ in site.refused} == {FLOOD}
    assert {reason for _, reason in site.refused} == {Reason.SURPLUS}
    accepted_rate = site.accepted[FLOOD] / 20
    # VMs learn of one another's acceptances late, so somewhat more is accepted.
    assert 0.9 * WEIGHT <= accepted_rate <= 1.7 * WEIGHT
    assert all(site.accepted[f"team{i}"] >= 19 for i in range(1, N_TEAMS))
    assert all(1 <= item <= 30 for item in site.retry_after_s)


def test_a_team_gets_its_rate_from_the_begin_of_refusals_on():
    """Guards against a time without any acceptance for what was accepted before.

    Load: one team of weight 10 at eight times its usual rate for ten seconds on a pool
    with room, which is busy from then on.
    """
    site = Site(starts_per_s=150.0, table=make_team_table(weight=10.0))
    rates = {team: 5 * rate for team, rate in usual_rates(flood=8.0).items()}
    site.run(10.0, rates)
    assert not site.n_refused
    site.starts_per_s = 5.0
    while not site.n_refused:
        site.run(STEP_S, rates)
    site.mark()
    site.run(4.0, rates)
    assert site.accepted[FLOOD] >= 0.8 * 4 * 10


def test_a_team_far_above_its_rate_through_one_vm_gets_its_rate():
    """Guards against a share for each VM that starves callers of a single one.

    Load: as above, with all of the team's jobs through one VM.
    """
    site = busy_site()
    for _ in range(160):
        site.submit(FLOOD, vm=0)
        site.run(0.125, {team: 1.0 for team in list(usual_rates())[1:]})
    assert 0.8 * WEIGHT <= site.accepted[FLOOD] / 20 <= 1.7 * WEIGHT


@pytest.mark.parametrize("read_s", [READ_S, 0.5, 1.2])
def test_a_team_within_its_weight_is_not_refused(read_s):
    """Guards against refusals of what a team is entitled to, also after late reads.

    Load: all teams just below their weight of 10 on a pool that is far behind; VMs read
    the journal in time or late.
    """
    table = make_team_table(weight=10.0)
    site = Site(starts_per_s=20.0, table=table, read_s=read_s)
    site.run(15.0, dict.fromkeys(usual_rates(), 9.5))
    assert site.submit(FLOOD) is None
    assert not site.n_refused
    refusals = [site.submit(FLOOD) for _ in range(60)]
    assert any(refusals)  # the pool is under pressure


def test_nothing_refused_is_stored_and_everything_accepted_is():
    """Guards against a refusal of a job that was accepted.

    Load: one team at eight times its usual rate while the pool is busy.
    """
    site = busy_site()
    site.run(10.0, usual_rates(flood=8.0))
    site.run(1.0)
    stored = {record.key.partition("/")[2] for record in site.journal}
    assert site.refused_ids
    assert not stored.intersection(site.refused_ids)
    assert stored.issuperset(site.accepted_ids)


def test_a_refused_job_is_accepted_after_the_time_that_the_refusal_states():
    """Guards against a Retry-After that sends callers back too early.

    Load: a team that submits ten jobs at once while the pool is busy, and then repeats
    each one that was refused after the stated time.
    """
    site = busy_site()
    refusals = [site.submit(FLOOD, vm=0) for _ in range(10)]
    due = sorted(item.retry_after_s for item in refusals if item is not None)
    assert due
    site.mark()
    begun_at, others = site.now, {f"team{i}": 1.0 for i in range(1, N_TEAMS)}
    for retry_after_s in due:
        site.run(max(0.0, begun_at + retry_after_s - site.now), others)
        site.submit(FLOOD, vm=0)
    assert site.refused[FLOOD, Reason.SURPLUS] <= len(due) // 4


def test_a_burst_from_all_teams_leaves_each_its_weight():
    """Guards against a burst that serves the first teams only.

    Load: all 20 teams at four times their weight for ten seconds.
    """
    site = Site(starts_per_s=30.0)
    site.run(5.0, usual_rates())
    site.mark()
    site.run(10.0, dict.fromkeys(usual_rates(), 4 * WEIGHT))
    assert site.n_refused
    accepted = [site.accepted[f"team{i}"] for i in range(N_TEAMS)]
    assert min(accepted) >= 0.9 * 10 * WEIGHT
    assert max(accepted) <= 1.5 * min(accepted)


def test_after_a_burst_nothing_is_refused_once_the_pool_has_caught_up():
    """Guards against refusals that go on after their cause.

    Load: all teams at four times their weight for five seconds, then as usual.
    """
    site = Site(starts_per_s=40.0)
    site.run(5.0, dict.fromkeys(usual_rates(), 4 * WEIGHT))
    site.run(20.0, usual_rates())
    site.mark()
    site.run(10.0, usual_rates(flood=8.0))
    assert not site.n_refused


def test_on_a_day_of_low_load_nothing_is_refused():
    """Guards against refusals while there is room.

    Load: all teams as usual, with bursts of one second at ten times a team's weight.
    """
    site = Site()
    for number in range(20):
        site.run(1.0, usual_rates() | {f"team{number}": 10 * WEIGHT})
        site.run(1.0, usual_rates())
    assert not site.n_refused


@pytest.mark.parametrize("silent_s", [1.0, 2.3])
def test_a_second_without_a_placer_refuses_nothing(silent_s):
    """Guards against waits for a placer that look like a busy pool.

    Load: one team at eight times its usual rate; no placer for a second or two, then a
    new term, on a pool with room.
    """
    site = Site()
    rates = usual_rates(flood=8.0)
    for _ in range(3):
        site.run(6.0, rates)
        site.places = False
        site.run(silent_s, rates)
        site.places, site.term = True, site.term + 1
    site.run(3.0, rates)
    assert not site.n_refused


def test_a_wait_counts_up_to_the_newest_record_of_the_placer():
    """Guards against jobs that become late because the placer is silent.

    Load: jobs of two teams wait while the placer is silent for 2.4 s, and on after it.
    """
    load = JobLoad()
    load.note_placer(100.0, is_new_term=True)
    for team in ("a", "b"):
        load.begin_wait("q", team, 100.0)
    assert not load.late({"q": 2.0}, 102.4)
    load.note_placer(102.4, is_new_term=False)
    assert load.late({"q": 2.0}, 102.7) == {"q": {"a": 1, "b": 1}}


def test_waits_without_a_placer_do_not_count_once_there_is_one():
    """Guards against a new term that begins with refusals.

    Load: one team at eight times its usual rate; five seconds without a placer.
    """
    site = Site(starts_per_s=40.0)
    site.run(4.0, usual_rates())
    site.places = False
    site.run(5.0, usual_rates())
    site.places, site.term = True, 2
    site.mark()
    site.run(3.0, usual_rates(flood=8.0))
    assert not site.refused[FLOOD, Reason.SURPLUS]


@pytest.mark.parametrize("fault", ["no_placer", "old_index", "slow_store"])
def test_with_an_old_estimate_each_vm_accepts_the_weight_of_a_team(fault):
    """Guards against refusals that rest on an estimate of the past, and no bound.

    Load: a busy pool; then five seconds without a placer, without reads of the journal
    or with appends of 0.8 s. One team sends 20 jobs per second to one VM, the others
    submit as usual.
    """
    site = busy_site()
    site.places = fault != "no_placer"
    site.reads = fault != "old_index"
    site.latency_s = 0.8 if fault == "slow_store" else site.latency_s
    site.run(3.0)
    site.mark()
    for _ in range(100):
        site.submit(FLOOD, vm=0)
        site.run(STEP_S, {f"team{i}": USUAL_RATE for i in range(1, N_TEAMS)})
    assert set(site.refused) == {(FLOOD, Reason.OLD_INDEX)}
    # In 5 s, with a burst of one second's worth.
    assert 5 * WEIGHT <= site.accepted[FLOOD] <= 7 * WEIGHT


@pytest.mark.parametrize("age_s", [1.9, 2.1])
def test_an_index_older_than_2_s_refuses_no_surplus(age_s):
    """Guards against refusals from an index that is a moment too old.

    Load: a team of weight 2 whose jobs other VMs have accepted, on a busy pool.
    """
    site = busy_site()
    for _ in range(10):
        site.indexes[0].job_load.note_accepted(FLOOD, site.now)
    admission, state = site.admissions[0], IndexState(age_s, n_vms=100)
    job = make_job(team=TABLE.teams[FLOOD])
    admission.begin_append(job, TABLE, state, site.now)
    refusal = admission.decide(job, TABLE, state, site.now)
    is_surplus = refusal is not None and refusal.reason is Reason.SURPLUS
    assert is_surplus == (age_s <= 2.0)


def test_jobs_that_cannot_be_placed_are_no_pressure():
    """Guards against refusals in an idle pool beside jobs that never begin.

    Load: one team submits eight times its usual rate; 30 jobs of three teams wait for
    longer than any job waits for room.
    """
    site = Site()
    for number in range(30):
        job = make_job(
            job_id=f"stuck{number}", team=TABLE.teams[f"team{1 + number % 3}"]
        )
        site.store(JOB_PREFIX + job.job_id, encode_job(job))
    site.run(35.0, usual_rates())
    site.mark()
    site.run(10.0, usual_rates(flood=8.0))
    assert not site.n_refused


def test_waits_of_one_other_team_are_no_pressure():
    """Guards against refusals in an idle pool beside a team that has reached its cap.

    Load: 30 jobs of one team wait, and four of others; another one submits eight times
    its usual rate.
    """
    site = Site()
    for number in range(4):
        job = make_job(job_id=f"few{number}", team=TABLE.teams[f"team{2 + number}"])
        site.store(JOB_PREFIX + job.job_id, encode_job(job))
    for number in range(30):
        job = make_job(job_id=f"capped{number}", team=TABLE.teams["team1"])
        site.store(JOB_PREFIX + job.job_id, encode_job(job))
    site.run(10.0, usual_rates(flood=8.0))
    # The waiting team itself has submitted 30 jobs at once.
    assert {team for team, _ in site.refused} <= {"team1"}


def test_a_few_seconds_are_no_pressure_where_work_is_patient():
    """Guards against refusals under normal load, where patient jobs wait for seconds.

    Load: all teams as usual on a pool that is 3 s behind, one at eight times its rate.
    """
    patient = make_queue(target_s=20.0, priority=1)
    site = Site(starts_per_s=20.0, table=make_team_table(patient))
    site.run(1.0, dict.fromkeys(usual_rates(), 4.0))
    site.run(1.0, usual_rates())
    site.mark()
    site.run(3.0, usual_rates(flood=8.0))
    assert not site.n_refused


@pytest.mark.parametrize("kind", ["scheduled", "fills"])
def test_jobs_that_wait_by_themselves_are_no_pressure(kind):
    """Guards against refusals because of jobs that do not start at once by design."""
    index = JobIndex()
    more = {"n_times": 2, "first_due_at": 9e9} if kind == "scheduled" else {}
    step = make_step(fills=kind == "fills")
    value = encode_job(make_job(step, team=make_team(), **more))
    index.fold(JournalRecord(1, JOB_PREFIX + "a", value), 10.0)
    assert not index.job_load.n_waiting
    assert index.job_load.accepted.total(FLOOD, 10.0) == 1


def test_records_of_a_late_read_are_no_burst():
    """Guards against refusals after a gap in which a VM read nothing.

    Load: a team at its weight; six seconds of its records arrive in one read.
    """
    load = JobLoad()
    load.begin_read(complete_at=100.0, now=106.0)
    for _ in range(round(6 * WEIGHT)):
        load.note_accepted(FLOOD, 106.0)
    load.end_read()
    assert tokens_used(load.accepted.recent(FLOOD, 106.0), WEIGHT, 106.0) <= 1.0


def test_a_record_that_is_stored_twice_counts_once():
    """Guards against a surplus made of repeated records, also of an ended job."""
    index = JobIndex()
    record = JournalRecord(1, JOB_PREFIX + "a", encode_job(make_job(team=make_team())))
    index.fold(record, 10.0)
    index.fold(replace(record, offset=2), 10.0)
    ended = orjson.dumps({"state": "completed"})
    index.fold(JournalRecord(3, RUN_PREFIX + "a", ended), 10.0)
    index.fold(replace(record, offset=4), 10.0)
    assert index.job_load.accepted.total(FLOOD, 10.0) == 1
    assert not index.job_load.n_waiting


def test_without_teams_nothing_is_refused():
    """Guards against refusals on the deployments that have no teams.

    Load: a queue of 1,000 jobs, none of which begins, and a submission.
    """
    index, table = JobIndex(), make_table(make_queue())
    claim = encode_leader_record(make_claim(1, "a", "n"))
    index.fold(JournalRecord(0, LEADER_KEY, claim), 100.0)
    for number in range(1000):
        index.job_load.begin_wait("q", "", 100.0 + number / 100)
    for now in (110.0, 120.0):
        index.job_load.note_placer(now, is_new_term=False)
        admission = Admission(index.job_load)
        assert admission.decide(make_job(), table, FRESH, now) is None
        assert admission.decide(make_job(team=make_team()), table, FRESH, now) is None


def test_a_long_backlog_is_refused_only_where_the_setting_asks_for_it():
    """Guards against a limit on the wait that acts by default or does not act.

    Load: 100 jobs wait, ten began in the last five seconds.
    """
    urgent, patient = make_queue("u"), make_queue("p", priority=1)
    table, load = make_table(urgent, patient), JobLoad()
    load.note_placer(100.0, is_new_term=True)
    for _ in range(100):
        load.begin_wait("p", "", 100.0)
    for _ in range(10):
        load.placed.add("p", 100.0)
    job = make_job(queue="p")  # objective: 2 x 2 s + 1 s; estimated wait: 50 s
    assert Admission(load).decide(job, table, FRESH, 100.0) is None
    limited = Admission(load, max_wait_factor=8.0)
    refusal = limited.decide(job, table, FRESH, 100.0)
    assert (refusal.reason, refusal.retry_after_s) == (Reason.BACKLOG, 10)
    assert limited.decide(make_job(queue="u"), table, FRESH, 100.0) is None
    assert (
        Admission(load, max_wait_factor=10.0).decide(job, table, FRESH, 100.0) is None
    )


def test_a_team_of_weight_zero_is_refused_for_30_s_at_most():
    """Guards against a division by zero, and a team that is never served."""
    table = make_team_table(weight=0.0)
    site = busy_site(table=table, n_vms=1)
    assert site.retry_after_s == [] or max(site.retry_after_s) <= 30
    outcomes = [site.submit(FLOOD) for _ in range(5)]
    refused = [item for item in outcomes if item is not None]
    assert refused
    assert all(item.retry_after_s <= 30 for item in refused)


def test_a_change_of_state_is_told_once():
    """Guards against a log line for each refusal."""
    site = busy_site(n_vms=1)
    admission = site.admissions[0]
    for _ in range(50):
        site.submit(FLOOD)
    (change,) = admission.pop_changes(site.now)
    assert (change.team, change.begins) == (FLOOD, True)
    assert not admission.pop_changes(site.now + 4.0)
    (change,) = admission.pop_changes(site.now + 6.0)
    assert (change.begins, change.n_refused) == (False, site.n_refused)
    assert admission.dump(TABLE, site.now)["refused"]["surplus"] == {
        FLOOD: site.n_refused
    }


def test_counters_are_bounded_with_many_jobs():
    """Guards against a memory that grows with the teams, queues and hours.

    Load: 20,000 jobs of 40 queues and teams over an hour, none of which begins.
    """
    load = JobLoad()
    load.note_placer(0.0, is_new_term=True)
    for number in range(20_000):
        now = number * 0.18
        load.note_accepted(f"team{number % 40}", now)
        load.begin_wait(f"q{number % 40}", f"team{number % 40}", now)
        load.note_placer(now, is_new_term=False)
    assert len(load._groups) <= MAX_GROUPS
    assert sum(len(slots) for slots in load.accepted._slots.values()) <= 100
    assert load.n_waiting.total() == 20_000
    load.late({}, 3600.0)
    assert len(load._groups) <= 200


JOB_IDS = [f"j{number}" for number in range(6)]
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "job",
                "placed",
                "refused",
                "running",
                "completed",
                "cancel",
                "delete",
                "snapshot",
            ]
        ),
        st.sampled_from(JOB_IDS),
    ),
    max_size=60,
)


@settings(max_examples=200, deadline=None)
@given(EVENTS)
def test_counters_match_a_recount_after_any_records(events):
    """Guards against counters that drift from the index."""
    index, queues = JobIndex(), ("p", "q")
    for offset, (kind, job_id) in enumerate(events):
        queue = queues[JOB_IDS.index(job_id) % 2]
        records = {
            "job": (JOB_PREFIX + job_id, encode_job(make_job(queue=queue))),
            "placed": (RUN_PREFIX + job_id, PLACED),
            "refused": (RUN_PREFIX + job_id, REFUSED),
            "running": (RUN_PREFIX + job_id, STARTED),
            "completed": (RUN_PREFIX + job_id, orjson.dumps({"state": "completed"})),
            "cancel": (CANCEL_PREFIX + job_id, b"{}"),
            "delete": (RUN_PREFIX + job_id, b""),
        }
        if kind == "snapshot":
            key, value = records["job"]
            index.fold_snapshot([JournalRecord(offset, key, value)], float(offset))
        else:
            index.fold(JournalRecord(offset, *records[kind]), float(offset))
    recount = Counter(
        entry.queue
        for entry in index.entries.values()
        if entry.state is JobState.PENDING and entry.queue and not entry.is_placed
    )
    assert index.job_load.n_waiting == recount
    waiting = Counter(
        entry.queue
        for entry in index.entries.values()
        if entry.state is JobState.PENDING and entry.queue
    )
    assert {queue: index.n_waiting(queue) for queue in waiting} == waiting


def test_a_refused_job_waits_from_its_acceptance():
    """Guards against a pool under pressure that is taken for one with room.

    Load: 20 jobs that are placed and refused again every half second.
    """
    index = JobIndex()
    load = index.job_load
    load.note_placer(0.0, is_new_term=True)
    for number in range(20):
        value = encode_job(make_job(job_id=f"j{number}", queue="q"))
        index.fold(JournalRecord(number, f"{JOB_PREFIX}j{number}", value), 1.0)
    for step in range(1, 16):
        now = 1.0 + 0.5 * step
        value = PLACED if step % 2 else REFUSED
        for number in range(20):
            record = JournalRecord(step, f"{RUN_PREFIX}j{number}", value)
            index.fold(record, now)
        load.late({"q": 2.0}, now)  # drops the groups without a waiting job
        assert index.n_waiting("q") == 20
        assert load.n_waiting["q"] == (0 if step % 2 else 20)
        assert load.placed.total("q", now) == (20 if step % 2 else 0)
    assert load.late({"q": 5.0}, now) == {}
    index.fold(JournalRecord(16, f"{RUN_PREFIX}j3", REFUSED), now)
    load.note_placer(now, is_new_term=False)
    assert load.late({"q": 5.0}, now + 1.0) == {"q": Counter({"": 1})}


def test_the_waits_of_refused_jobs_are_bounded():
    """Guards against groups beyond the bound, from jobs that wait again."""
    load = JobLoad()
    load.note_placer(0.0, is_new_term=True)
    groups = [
        load.begin_wait(f"q{number}", "", 1.0) for number in range(MAX_GROUPS + 10)
    ]
    for group in groups:
        load.end_wait(group)
    for group in groups:
        load.resume_wait(group)
    assert len(load._groups) <= MAX_GROUPS
    assert load.n_waiting.total() == MAX_GROUPS + 10
