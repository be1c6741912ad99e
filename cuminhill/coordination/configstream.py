"""Configuration folded from publications in an append-only log.

A publication names the revision that it was made from and is accepted if that is the
current revision at its offset, so that the log's order decides between operators.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import asdict, dataclass, field
from functools import singledispatchmethod
from typing import Any

from .fieldcheck import check_fields

MAX_HISTORY = 64
MAX_OUTCOMES = 1024
MAX_UNRESOLVED = 4096
# Part of the retention after which a bookmark is due; leaves time for three failed
# attempts before the newest bookmark becomes useless.
BOOKMARK_FRACTION = 0.25


@dataclass(frozen=True, slots=True)
class Publication:
    """Proposes a configuration.

    Parameters
    ----------
    publication_id : str
        Unique; identifies the outcome if the reply to the append was lost.
    author : str
        Operator.
    base : int
        Revision that the proposal was made from.
    config : dict
        The whole configuration.
    at : float, seconds since the epoch
        Time of creation.
    """

    publication_id: str
    author: str
    base: int
    config: dict[str, Any]
    at: float


@dataclass(frozen=True, slots=True)
class Revision:
    """One accepted configuration without its contents."""

    revision: int
    publication_id: str
    author: str
    at: float


@dataclass(frozen=True, slots=True)
class ConfigBookmark:
    """State as of an offset; also the snapshot that peers exchange.

    Parameters
    ----------
    as_of : int
        Offset through which the author had folded the stream.
    as_of_at : float, seconds since the epoch
        Time of the record at that offset.
    history : tuple of Revision
        Newest accepted revisions; the last one is current.
    at : float, seconds since the epoch
        Time at which the bookmark was created.
    """

    as_of: int
    as_of_at: float
    history: tuple[Revision, ...]
    config: dict[str, Any]
    at: float

    @property
    def current(self) -> Revision:
        """Revision whose configuration the bookmark carries."""
        return self.history[-1]


ConfigRecord = Publication | ConfigBookmark

_TYPES: dict[str, type[Any]] = {"publish": Publication, "bookmark": ConfigBookmark}
_NAMES = {kind: name for name, kind in _TYPES.items()}


def config_record_to_dict(record: ConfigRecord) -> dict[str, Any]:
    """Return the JSON-ready form of a record."""
    return {"type": _NAMES[type(record)], **asdict(record)}


def has_known_config_type(data: object) -> bool:
    """Return whether a value has the type of a record, even if it is none."""
    kind = data.get("type") if isinstance(data, dict) else None
    return isinstance(kind, str) and kind in _TYPES


def config_record_from_dict(data: dict[str, Any]) -> ConfigRecord:
    """Return the record for a mapping made by ``config_record_to_dict``.

    Raises
    ------
    KeyError, TypeError
        If the mapping is not a record.
    """
    if not isinstance(data, dict):
        raise TypeError("not a mapping")
    fields = dict(data)
    if "history" in fields:
        fields["history"] = tuple(Revision(**item) for item in fields["history"])
        if not fields["history"]:
            raise TypeError("a bookmark without a revision")
        for item in fields["history"]:
            check_fields(item)
    record: ConfigRecord = _TYPES[fields.pop("type")](**fields)
    check_fields(record)
    return record


@dataclass(frozen=True, slots=True)
class Accepted:
    """The publication was accepted."""

    publication_id: str
    revision: int


@dataclass(frozen=True, slots=True)
class Lost:
    """The publication lost: another one had replaced its base.

    Parameters
    ----------
    winner : Revision
        Revision that was made from the same base, or else the current one.
    """

    publication_id: str
    winner: Revision


Outcome = Accepted | Lost

_NO_REVISION = Revision(0, "", "", 0.0)


@dataclass(eq=False, slots=True)
class ConfigState:
    """State folded from the stream of configuration records.

    A reader that has not seen the whole stream cannot decide publications until a
    bookmark or a peer provides the state as of some offset; publications that it
    read before are kept and decided then.

    Parameters
    ----------
    next_offset : int
        Offset of the first record that has not been folded.
    complete_from : int
        Offset from which on every record was seen.
    in_sync : bool
        Whether the current revision at ``next_offset`` is known, so that
        publications can be decided.
    folded : Revision
        Current revision at ``next_offset``, while in sync.
    in_force : Revision
        Highest revision known from any source; never decreases.
    config : dict or None
        Configuration of that revision.
    """

    next_offset: int = 0
    complete_from: int = 0
    in_sync: bool = True
    folded: Revision = _NO_REVISION
    in_force: Revision = _NO_REVISION
    config: dict[str, Any] | None = None
    history: deque[Revision] = field(default_factory=lambda: deque(maxlen=MAX_HISTORY))
    n_lost: int = 0
    n_ignored_bookmarks: int = 0
    n_gaps: int = 0
    last_record_at: float = 0.0
    _bookmarked_at: float | None = None
    _adopted: ConfigBookmark | None = None
    _folded_config: dict[str, Any] = field(default_factory=dict)
    _outcomes: OrderedDict[str, Outcome] = field(default_factory=OrderedDict)
    _unresolved: deque[tuple[int, Publication]] = field(default_factory=deque)

    @property
    def ready(self) -> bool:
        """Whether any configuration is known."""
        return self.config is not None

    def apply(self, offset: int, record: ConfigRecord) -> Revision | None:
        """Fold one record.

        Parameters
        ----------
        offset : int
            Offset of the record; offsets already folded are ignored, a gap
            means that retention dropped records.
        record : ConfigRecord
            Record at the offset.

        Returns
        -------
        Revision or None
            The revision that came into force, if one did.
        """
        if offset < self.next_offset:
            return None
        if offset > self.next_offset:
            self.skip_to(offset)
        before = self.in_force
        self._fold(record, offset)
        self.next_offset = offset + 1
        self.last_record_at = record.at
        return self.in_force if self.in_force is not before else None

    def skip(self, offset: int) -> None:
        """Pass over a record of an unknown type, unless it follows a gap.

        One of a known type must not be passed over: a build that can read it may count
        a revision for it.
        """
        if offset == self.next_offset:
            self.next_offset = offset + 1

    def skip_to(self, offset: int) -> None:
        """Skip the records before an offset, which can no longer be read."""
        if offset <= self.next_offset:
            return
        self.n_gaps += 1
        self.next_offset = self.complete_from = offset
        self.in_sync = False
        self._unresolved.clear()
        self._bookmarked_at = None
        if self._adopted is not None:
            self._start_from(self._adopted)

    def outcome(self, publication_id: str) -> Outcome | None:
        """Return the outcome of a publication, None if it was not read back."""
        return self._outcomes.get(publication_id)

    def publication(
        self, publication_id: str, author: str, config: dict[str, Any], now: float
    ) -> Publication:
        """Return the record that proposes to replace the revision in force."""
        return Publication(publication_id, author, self.in_force.revision, config, now)

    def bookmark(self, now: float) -> ConfigBookmark | None:
        """Return the current state, as a record or for a peer.

        Parameters
        ----------
        now : float, seconds since the epoch
            Wall-clock time.

        Returns
        -------
        ConfigBookmark or None
            None if the state is not in sync or has no revision.
        """
        if not self.in_sync or self.folded.revision == 0:
            return None
        return ConfigBookmark(
            self.next_offset - 1,
            min(self.last_record_at, now),
            tuple(self.history),
            self._folded_config,
            now,
        )

    def bookmark_due(self, now: float, retention_s: float) -> bool:
        """Return whether a bookmark should be appended before retention.

        The age of the record at ``as_of`` counts, not that of the bookmark: a
        bookmark is useless once that record is dropped. On an idle stream each
        bookmark is therefore followed by a second one. One process at a time
        should append them, one append at a time.
        """
        if not self.in_sync or self.folded.revision == 0:
            return False
        bookmarked_at = (
            self.folded.at if self._bookmarked_at is None else self._bookmarked_at
        )
        return now - bookmarked_at >= retention_s * BOOKMARK_FRACTION

    def adopt(self, snapshot: ConfigBookmark) -> Revision | None:
        """Adopt a peer's state, for use while the log is unreachable.

        A state that is in sync keeps its offset, so that it sees the outcome of
        every publication.

        Returns
        -------
        Revision or None
            The revision that came into force, if one did.
        """
        before = self.in_force
        if self._adopted is None or snapshot.as_of > self._adopted.as_of:
            self._adopted = snapshot
        self._start_from(snapshot)
        self._put_in_force(snapshot.current, snapshot.config)
        return self.in_force if self.in_force is not before else None

    @singledispatchmethod
    def _fold(self, record: ConfigRecord, offset: int) -> None:
        raise TypeError(f"not a record: {record!r}")

    @_fold.register
    def _(self, record: Publication, offset: int) -> None:
        if self.in_sync:
            self._resolve(record)
            return
        if len(self._unresolved) >= MAX_UNRESOLVED:
            dropped, _ = self._unresolved.popleft()
            self.complete_from = dropped + 1
        self._unresolved.append((offset, record))

    @_fold.register
    def _(self, record: ConfigBookmark, offset: int) -> None:
        if record.as_of >= offset or record.as_of < self.complete_from:
            # Records between as_of and the log's start may be missing.
            self.n_ignored_bookmarks += 1
            return
        self._start_from(record)
        # A paused author may append late, so the newest as_of counts.
        self._bookmarked_at = max(
            record.as_of_at, self._bookmarked_at or record.as_of_at
        )

    def _resolve(self, record: Publication) -> None:
        if record.base == self.folded.revision:
            self._advance(
                Revision(
                    record.base + 1, record.publication_id, record.author, record.at
                ),
                record.config,
            )
        elif not isinstance(self._outcomes.get(record.publication_id), Accepted):
            # An accepted publication is appended again if its reply was lost.
            self.n_lost += 1
            self._set_outcome(Lost(record.publication_id, self._winner(record.base)))

    def _advance(self, accepted: Revision, config: dict[str, Any]) -> None:
        self.folded, self._folded_config = accepted, config
        self.history.append(accepted)
        self._set_outcome(Accepted(accepted.publication_id, accepted.revision))
        self._put_in_force(accepted, config)

    def _start_from(self, snapshot: ConfigBookmark) -> None:
        """Continue from a snapshot if every later record was read."""
        if self.in_sync or snapshot.as_of < self.complete_from:
            return
        later = [item for item in self._unresolved if item[0] > snapshot.as_of]
        self._unresolved.clear()
        if snapshot.as_of >= self.next_offset:
            self.next_offset = snapshot.as_of + 1
            self.last_record_at = snapshot.as_of_at
        self.in_sync = True
        self.history.clear()
        for item in snapshot.history:
            self.history.append(item)
            self._set_outcome(Accepted(item.publication_id, item.revision))
        self.folded, self._folded_config = snapshot.current, snapshot.config
        self._put_in_force(self.folded, snapshot.config)
        for _, record in later:
            self._resolve(record)

    def _put_in_force(self, accepted: Revision, config: dict[str, Any]) -> None:
        if accepted.revision > self.in_force.revision:
            self.in_force, self.config = accepted, config

    def _winner(self, base: int) -> Revision:
        for item in self.history:
            if item.revision == base + 1:
                return item
        return self.folded

    def _set_outcome(self, outcome: Outcome) -> None:
        self._outcomes[outcome.publication_id] = outcome
        if len(self._outcomes) > MAX_OUTCOMES:
            self._outcomes.popitem(last=False)


def make_config_state() -> ConfigState:
    """Return the state before the first record of a stream."""
    return ConfigState()
