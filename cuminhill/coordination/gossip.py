"""Order in which names are passed on: fewest times sent first."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random


@dataclass(eq=False, slots=True)
class GossipQueue:
    """Names that are news until sent often enough, then repeated in turn.

    Parameters
    ----------
    n_sends : int
        Times that a name is sent as news.
    rng : random.Random
        Shuffles the other names once per round. With one order everywhere the
        members of a failure domain are all sent at the same time, and the domain
        seems silent for the rest of the round.
    """

    n_sends: int
    rng: random.Random
    _updates: list[OrderedDict[str, None]] = field(default_factory=list)
    _others: list[str] = field(default_factory=list)
    _next_other: int = 0

    def __post_init__(self) -> None:
        self._updates = [OrderedDict() for _ in range(self.n_sends)]

    def add(self, name: str) -> None:
        """Make a name news, with its sends counted from zero."""
        self.remove(name)
        self._updates[0][name] = None

    def remove(self, name: str) -> None:
        """Forget a name; an unknown one is no error."""
        if name in self._others:
            index = self._others.index(name)
            self._others.pop(index)
            self._next_other -= index < self._next_other
        for bucket in self._updates:
            bucket.pop(name, None)

    def take(self, n_names: int, n_refreshes: int) -> list[tuple[str, bool]]:
        """Return what to send now and count it as sent.

        Parameters
        ----------
        n_names : int
            Bound on the names returned.
        n_refreshes : int
            Bound on those that are no news.

        Returns
        -------
        list of (str, bool)
            Names, and whether each is news.
        """
        taken: list[tuple[str, int]] = []
        for n_sent, bucket in enumerate(self._updates):
            for name in bucket:
                if len(taken) == n_names:
                    break
                taken.append((name, n_sent))
        for name, n_sent in taken:
            del self._updates[n_sent][name]
            if n_sent + 1 < self.n_sends:
                self._updates[n_sent + 1][name] = None
            else:
                self._others.append(name)
        updates = [(name, True) for name, _ in taken]
        return updates + self._refreshes(min(n_refreshes, n_names - len(taken)))

    def _refreshes(self, n_names: int) -> list[tuple[str, bool]]:
        if self._next_other >= len(self._others):
            self.rng.shuffle(self._others)
            self._next_other = 0
        names = self._others[self._next_other : self._next_other + n_names]
        self._next_other += len(names)
        return [(name, False) for name in names]


def make_gossip_queue(n_sends: int, rng: random.Random) -> GossipQueue:
    """Return an empty queue; a name is news for ``n_sends`` sends."""
    return GossipQueue(n_sends, rng)
