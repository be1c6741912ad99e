"""Ends of leases on workers that a placer does not reach, handed on from term to term.

A placer stops extending the leases on a worker that does not answer, so it knows when
they have lapsed. It keeps that time in the journal, for a new term would otherwise
have to assume that its predecessor went on extending them, and each change of the
placer would begin the wait for them anew.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, NamedTuple

from .fleet import CLOCK_DRIFT
from .records import LeaseBound, LeaseRecord

if TYPE_CHECKING:
    from .model import TaskKey
    from .placer import Placer

# A worker that does not answer is listed after this time; most of those whose
# connections were only reset answer sooner.
LIST_AFTER_S = 0.3
# While a lease may still run, its record is written anew at this interval: for a VM
# that has just started, the times in it count from when it reads it.
REWRITE_INTERVAL_S = 0.5
# The process of a term has not ended longer than this before its newest record was
# read: a VM that follows the journal reads sooner, one that has just started within the
# time that a start takes.
MAX_READ_LAG_S = 3.0
MAX_SILENT_S = 10_000.0  # in a record; bounds the length of an entry
# Bound of the list in a record, and of one entry without the worker's name. A record
# that the log rejects would keep its term from extending any lease.
MAX_LIST_BYTES = 200_000
ENTRY_BYTES = 50


@dataclass(frozen=True, slots=True)
class InheritedLeases:
    """What the newest earlier term with a record has left about leases.

    Parameters
    ----------
    term : int
        That term; 0 if none bounds all leases.
    address : str
        ``"host:port"`` at which its process is called by other VMs.
    earlier_lapse_at : float, seconds
        When all leases have lapsed that terms before it can have granted on workers
        that it had not reached.
    bounds : dict of (str, int) to float
        When the leases have lapsed that it did not extend, in seconds, by worker and
        incarnation.
    own_lapse_at : float, seconds
        When all leases have lapsed that it can have granted, by its newest record;
        infinite if it does not bound them.
    newest_read_at : float, seconds
        When its newest record, or a later one of an earlier term, was read.
    silent_since : dict of (str, int) to float
        Since when the workers in `bounds` have not answered at the latest, in seconds.
    """

    term: int = 0
    address: str = ""
    earlier_lapse_at: float = math.inf
    bounds: dict[tuple[str, int], float] = field(default_factory=dict)
    own_lapse_at: float = math.inf
    newest_read_at: float = -math.inf
    silent_since: dict[tuple[str, int], float] = field(default_factory=dict)


NO_INHERITED_LEASES = InheritedLeases()


@dataclass(frozen=True, slots=True)
class ReleasedRun:
    """Statement that neither a run of a task nor an earlier one is on any worker.

    Parameters
    ----------
    away_s : float, seconds
        For how long the task had been away at the answer; 0 if not known.
    """

    key: TaskKey
    run: int
    away_s: float = 0.0


class DoneRun(NamedTuple):
    """Statement that a run of a task has ended as done."""

    key: TaskKey
    run: int


@dataclass(frozen=True, slots=True)
class TermEnd:
    """Statement that a process extends no lease for a term and never will.

    Parameters
    ----------
    for_s : float, seconds
        How long before the answer the process of the term had ended it at the latest.
    released : tuple of ReleasedRun
        Runs of lasting tasks that the term knew to be gone, whether or not it could
        write so to the journal.
    done : tuple of DoneRun
        Runs that the term knew to be done and may not have written so to the journal.
    """

    for_s: float = 0.0
    released: tuple[ReleasedRun, ...] = ()
    done: tuple[DoneRun, ...] = ()

    def ended_at(self, answered_at: float) -> float:
        """Return when the term had ended at the latest, in seconds.

        Parameters
        ----------
        answered_at : float, seconds
            When the answer arrived, which is later than it was given.
        """
        return answered_at - self.for_s * (1 - CLOCK_DRIFT)


def inherit_leases(
    record: LeaseRecord, read_at: float, newest_read_at: float
) -> InheritedLeases:
    """Return the ends of leases in the record of an earlier term.

    Parameters
    ----------
    read_at : float, seconds
        When the record was read. Its times count from then, later than they were
        written.
    newest_read_at : float, seconds
        When the newest record before the next claim was read, later than the last
        append that has confirmed the term was sent.
    """
    return InheritedLeases(
        record.term,
        record.address,
        read_at + record.earlier_left_s,
        {
            (bound.worker_id, bound.incarnation): read_at + bound.left_s
            for bound in record.bounds
        },
        newest_read_at + record.lapse_s,
        newest_read_at,
        {
            (bound.worker_id, bound.incarnation): read_at - bound.silent_s
            for bound in record.bounds
        },
    )


@dataclass(frozen=True, slots=True)
class LeaseQuery:
    """Names the lease record that a claim inherits.

    Parameters
    ----------
    term : int
        Term of the claim.
    nonce : str
        Nonce of the claim.
    offset : int
        Position of the lease record in the journal.
    """

    term: int
    nonce: str
    offset: int


@dataclass(frozen=True, slots=True)
class LeaseAges:
    """How long before its answer a VM had read what a claim inherits.

    Parameters
    ----------
    record_s : float, seconds
        The lease record.
    newest_s : float, seconds
        The newest record of a placer that has confirmed a term which can have extended
        leases.
    """

    record_s: float
    newest_s: float


@dataclass(frozen=True, slots=True)
class LeaseReading:
    """Lease record that a claim inherits, and when it was read.

    A VM that has just started reads it from a snapshot as if it were new. One that has
    followed the journal has read it earlier and still after it was written, so the
    bounds also hold if they count from there. This needs the same record, since a
    later one of the same term may no longer list a worker: the term has extended its
    leases again. The position in the journal tells them apart. It also needs the same
    claim, which fences all records of earlier terms: records that the other VM read
    after its times then confirm none of these terms.

    Parameters
    ----------
    query : LeaseQuery
        The claim and the record's position.
    record : LeaseRecord
        The record.
    read_at : float, seconds
        When it was read.
    newest_read_at : float, seconds
        When the newest record before the next claim was read, later than the last
        append that has confirmed the term was sent.
    """

    query: LeaseQuery
    record: LeaseRecord
    read_at: float
    newest_read_at: float

    def inherited(self) -> InheritedLeases:
        """Return the ends of leases by these times."""
        return inherit_leases(self.record, self.read_at, self.newest_read_at)

    def ages(self, now: float) -> LeaseAges:
        """Return how long ago the records were read."""
        return LeaseAges(
            max(0.0, now - self.read_at), max(0.0, now - self.newest_read_at)
        )

    def with_ages(self, ages: LeaseAges, answered_at: float) -> LeaseReading:
        """Return the reading with the earlier times of this VM and another one.

        Parameters
        ----------
        ages : LeaseAges
            Answer of another VM to the query. Its clock may run fast.
        answered_at : float, seconds
            When the answer arrived, which is later than it was given.
        """
        factor = 1 - CLOCK_DRIFT
        return replace(
            self,
            read_at=min(self.read_at, answered_at - ages.record_s * factor),
            newest_read_at=min(
                self.newest_read_at, answered_at - ages.newest_s * factor
            ),
        )


def latest_lapse_at(placer: Placer) -> float:
    """Return when all leases have lapsed that earlier terms can have granted.

    The previous placer extends leases for a while without the journal, unless it is
    known to have ended. What it has left in the journal tells for how long; otherwise
    it may have been confirmed until this term began. Terms before it are covered by
    `earlier_lapse_at`.
    """
    times = placer.times
    lapse_s = times.lease.lapse_s
    latest = placer.begun_at + times.max_unconfirmed_s + lapse_s
    inherited = placer.inherited
    own = min(placer.predecessor_ended_at + lapse_s, inherited.own_lapse_at)
    return min(latest, max(own, inherited.earlier_lapse_at))


def lapse_at(placer: Placer, life: tuple[str, int]) -> float:
    """Return when the leases on a worker that this term has not reached have lapsed.

    Parameters
    ----------
    life : (str, int)
        Identity and incarnation of the worker.

    Returns
    -------
    lapse_at : float, seconds
        As the previous term knew it, or else by the longest lease that it can have
        granted.
    """
    return min(placer.inherited.bounds.get(life, math.inf), latest_lapse_at(placer))


def lapse_bound(placer: Placer, life: tuple[str, int]) -> str:
    """Return the name of the bound that `lapse_at` returns, for log lines."""
    at = lapse_at(placer, life)
    if at == placer.inherited.bounds.get(life):
        return "listed"
    if at == placer.predecessor_ended_at + placer.times.lease.lapse_s:
        return "predecessor ended"
    if at == placer.inherited.earlier_lapse_at:
        return "earlier terms"
    return "longest lease"


def silent_since(placer: Placer, life: tuple[str, int]) -> float:
    """Return since when a worker that does not answer has not, at the latest.

    Parameters
    ----------
    life : (str, int)
        Identity and incarnation of the worker.

    Returns
    -------
    since : float, seconds
        As this term or the previous one has noticed it, or else when this term began.
    """
    worker = placer.workers.get(life[0])
    if worker is not None and worker.life == life and worker.silent_at:
        return worker.silent_at
    return min(placer.inherited.silent_since.get(life, math.inf), placer.begun_at)


def note_predecessor_ended(placer: Placer, ended_at: float) -> None:
    """Note that the previous term has extended no lease since a time, in seconds."""
    earliest = placer.inherited.newest_read_at - MAX_READ_LAG_S
    ended_at = max(ended_at, earliest)
    placer.predecessor_ended_at = min(placer.predecessor_ended_at, ended_at)
    for worker in placer.workers.values():
        # A worker that has restarted in this term may have accepted a start of it.
        known = worker.confirmed_token or worker.has_predecessor
        if not known and not worker.reachable:
            worker.lapse_at = min(worker.lapse_at, lapse_at(placer, worker.life))


@dataclass(eq=False)
class LeaseJournal:
    """Makes the lease records of one term and enforces what they say.

    Parameters
    ----------
    placer : Placer
        State of the term.
    address : str
        ``"host:port"`` at which other VMs call this process.
    """

    placer: Placer
    address: str
    # Content, without its times, of the newest record that `prepare` has returned, and
    # of the newest one stored; None if a resignation may be stored after that one.
    _prepared: tuple[object, ...] | None = None
    _stored: tuple[object, ...] | None = None
    _made_at: float = -math.inf
    # Records made in all, and when `prepare` was called last.
    _n_made: int = 0
    _n_prepared: int = 0

    def prepare(self, now: float) -> LeaseRecord | None:
        """Return the record to store next, None if the newest one still holds.

        From now on leases on the workers that are not reached are not extended. The
        record has to be queued before the next one is made.
        """
        placer = self.placer
        bounds = list_unreached(placer, now)
        earlier_over = latest_lapse_at(placer) <= now
        content = (set(bounds), placer.predecessor_ended_at <= now, earlier_over)
        is_open = bool(bounds) or not earlier_over
        if content == self._stored and not (
            is_open and now - self._made_at >= REWRITE_INTERVAL_S
        ):
            self._n_prepared = self._n_made
            return None
        record = self._make(bounds, now)
        self._prepared, self._n_prepared = content, self._n_made
        return record

    def prepare_resignation(self, now: float) -> LeaseRecord:
        """Return the record to store together with a resignation."""
        record = self._make(list_unreached(self.placer, now), now)
        # It may be stored at any time from now on, so only a later one ends it.
        self._stored = None
        return record

    def _make(self, bounds: dict[tuple[str, int], float], now: float) -> LeaseRecord:
        bounds = fit_bounds(bounds)
        self._n_made += 1
        self._made_at, self.placer.listed = now, set(bounds)
        return LeaseRecord(
            self.placer.term,
            self.address,
            max(0.0, latest_lapse_at(self.placer) - now),
            tuple(
                LeaseBound(
                    *life,
                    max(0.0, at - now),
                    min(MAX_SILENT_S, max(0.0, now - silent_since(self.placer, life))),
                )
                for life, at in sorted(bounds.items())
            ),
            self.placer.times.unconfirmed_lapse_s,
        )

    def note_stored(self) -> None:
        """Allow that leases are extended on workers that the journal does not list.

        Called when the record that `prepare` has returned is stored, or at once if it
        returned none.
        """
        if self._n_prepared != self._n_made:
            return
        self._stored = self._prepared
        for worker in self.placer.workers.values():
            if worker.withheld and worker.life not in self.placer.listed:
                worker.withheld = False


def fit_bounds(bounds: dict[tuple[str, int], float]) -> dict[tuple[str, int], float]:
    """Return the bounds that fit into one record, those that end first.

    The longest lease counts for a worker that is left out.
    """
    fitting: dict[tuple[str, int], float] = {}
    n_bytes = 0
    for life, at in sorted(bounds.items(), key=lambda item: item[1]):
        n_bytes += len(life[0].encode()) + ENTRY_BYTES
        if n_bytes > MAX_LIST_BYTES:
            break
        fitting[life] = at
    return fitting


def list_unreached(placer: Placer, now: float) -> dict[tuple[str, int], float]:
    """Withhold leases on the workers with runs that are not reached; return these.

    Returns
    -------
    bounds : dict of (str, int) to float
        When their leases have lapsed, in seconds, by worker and incarnation.
    """
    bounds = {
        task.life: lapse_at(placer, task.life)
        for task in placer.not_adopted.values()
        if task.worker
    }
    for worker in placer.workers.values():
        if worker.reachable or not worker.slots:
            continue
        silent_s = now - max(worker.silent_at, placer.begun_at, placer.calls_since)
        inherited = worker.life in placer.inherited.bounds
        known = worker.withheld or (inherited and not worker.confirmed_token)
        if known or silent_s >= LIST_AFTER_S:
            worker.withheld = True
            bounds[worker.life] = worker.lapse_at
    return bounds
