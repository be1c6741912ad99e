"""Terms of placers that cannot communicate with each other."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest

from cuminhill.coordination.term import Term, make_term

N_WORKERS = 3
LEASE_STEPS = 6
N_STEPS = 400
SEEDS = range(40)


@dataclass
class Worker:
    """Grants its lease to one term at a time and lists what it runs."""

    holder: str = ""
    expires_at: int = 0
    tasks: set[int] = field(default_factory=set)


class Shard:
    """Log, workers, and how often each claim was started."""

    def __init__(self):
        self.now = 0
        self.log = []
        self.workers = [Worker() for _ in range(N_WORKERS)]
        self.n_starts = {}


class Placer:
    """Follows the three rules of the term module, one step at a time."""

    def __init__(self, shard, name, owns=Term.owns):
        self.shard, self.name, self.owns = shard, name, owns
        self.number = self.n_read = 0
        self.claims = []
        self.begin()

    def begin(self):
        self.number += 1
        self.term = make_term(self.name, self.number)
        self.announced = False
        self.leases, self.heard, self.seen = {}, set(), set()
        self.ready, self.held = set(), set(self.claims)

    def check_term(self):
        if self.term.broken(self.shard.now) or self.term.deposed:
            for index in self.leases:
                if self.shard.workers[index].holder == self.term.name:
                    self.shard.workers[index].expires_at = 0
            self.begin()

    def renew(self, index):
        self.check_term()
        shard, worker = self.shard, self.shard.workers[index]
        if worker.holder != self.term.name and shard.now < worker.expires_at:
            return
        worker.holder, worker.expires_at = self.term.name, shard.now + LEASE_STEPS
        until = shard.now + LEASE_STEPS - 1
        assert self.term.grant(until, shard.now)
        self.leases[index] = until
        self.heard.add(index)
        self.seen |= worker.tasks
        if not self.announced:
            self.announced = True
            shard.log.append(("lead", self.term.name))
        if len(self.heard) == N_WORKERS and not self.term.exclusive:
            self.term.exclusive = True
            self.ready |= self.held
            self.held = set()

    def read(self):
        self.check_term()
        if self.n_read == len(self.shard.log):
            return
        offset = self.n_read
        kind, value = self.shard.log[offset]
        self.n_read += 1
        if kind == "lead":
            self.term.take_lead(offset, value)
        else:
            self.claims.append(offset)
            own = self.owns(self.term, offset) or self.term.exclusive
            (self.ready if own else self.held).add(offset)

    def place(self, rng):
        self.check_term()
        now = self.shard.now
        usable = [i for i, until in self.leases.items() if now < until]
        waiting = sorted(self.ready - self.seen)
        if not usable or not waiting:
            return
        claim, index = rng.choice(waiting), rng.choice(usable)
        self.shard.workers[index].tasks.add(claim)
        self.seen.add(claim)
        starts = self.shard.n_starts
        starts[claim] = starts.get(claim, 0) + 1


def run(seed, owns=Term.owns):
    """Return the starts of each claim after random steps of two placers."""
    rng = random.Random(seed)
    shard = Shard()
    placers = [Placer(shard, name, owns) for name in ("a", "b")]
    for _ in range(N_STEPS):
        shard.now += rng.random() < 0.5
        placer = rng.choices(placers, weights=rng.choice([(1, 1), (9, 1), (1, 9)]))[0]
        step = rng.randrange(8)
        if step < 3:
            placer.renew(rng.randrange(N_WORKERS))
        elif step < 5:
            placer.read()
        elif step < 7:
            placer.place(rng)
        elif rng.random() < 0.5:
            shard.log.append(("claim", ""))
    return shard.n_starts


def test_no_claim_is_started_by_two_placers():
    """Guards against a request that two leaders of one shard both place."""
    starts = [run(seed) for seed in SEEDS]
    assert max(count for item in starts for count in item.values()) == 1
    assert sum(len(item) for item in starts) > len(SEEDS)


def test_check_sees_claims_that_are_owned_by_whoever_reads_them():
    """Guards against a run that could not show the violation."""
    starts = [run(seed, owns=lambda term, origin: True) for seed in SEEDS]
    assert max(count for item in starts for count in item.values()) > 1


def test_term_ends_when_no_worker_was_held():
    """Guards against a paused placer that keeps placing what another one accepted."""
    term = make_term("a", 1)
    assert not term.broken(5.0)
    assert term.grant(valid_until=1.0, now=0.1)
    assert term.broken(1.0)
    assert not term.grant(valid_until=2.9, now=2.0)


@pytest.mark.parametrize(("by", "deposed"), [("a#1", False), ("b#7", True)])
def test_repeated_record_of_an_earlier_own_term_deposes_nobody(by, deposed):
    """Guards against an append that was repeated after its reply was lost."""
    term = make_term("a", 2)
    term.take_lead(3, "b#6")
    assert not term.deposed
    term.take_lead(4, "a#2")
    term.take_lead(5, by)
    assert term.deposed is deposed
    assert term.owns(6) is not deposed
