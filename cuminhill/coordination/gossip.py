"""Order in which members are gossiped: those sent the fewest times first."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random


@dataclass(eq=False, slots=True)
class GossipQueue:
    """Names that count as updates for some sends and are then repeated in turn.

    Parameters
    ----------
    n_sends : int
        Number of times that a name is sent as an update.
    rng : random.Random
        Shuffles the other names once per round. If all processes used one order,
        the members of a failure domain would all be sent at the same time, and
        the domain would seem unresponsive for the rest of the round.
    """

    n_sends: int
    rng: random.Random
    _updates: list[OrderedDict[str, None]] = field(default_factory=list)
    _others: list[str] = field(default_factory=list)
    _next_other: int = 0

    def __post_init__(self) -> None:
        self._updates = [OrderedDict() for _ in range(self.n_sends)]

    def add(self, name: str) -> None:
        """Add a name as an update that has not been sent yet."""
        self.remove(name)
        self._updates[0][name] = None

    def remove(self, name: str) -> None:
        """Remove a name; an unknown one is ignored."""
        if name in self._others:
            index = self._others.index(name)
            self._others.pop(index)
            self._next_other -= index < self._next_other
        for bucket in self._updates:
            bucket.pop(name, None)

    def take(self, n_names: int, n_refreshes: int) -> list[tuple[str, bool]]:
        """Return the names to send now and count them as sent.

        Parameters
        ----------
        n_names : int
            Largest number of names to return.
        n_refreshes : int
            Largest number of names among them that are not updates.

        Returns
        -------
        list of (str, bool)
            Names, and whether each is an update.
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
    """Return an empty queue; a name is an update for ``n_sends`` sends."""
    return GossipQueue(n_sends, rng)
