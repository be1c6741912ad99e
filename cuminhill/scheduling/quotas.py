"""Quotas and fair shares of teams."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..model import NO_RESOURCES, Resources

if TYPE_CHECKING:
    from collections.abc import Mapping

# Fair-share weight of a team without a guaranteed share.
DEFAULT_WEIGHT = 0.01
# Teams whose shares differ by less are ordered by priority, deadline and age.
SHARE_STEP = 0.02


@dataclass(frozen=True, slots=True)
class TeamQuota:
    """Quota of a team in one shard.

    Parameters
    ----------
    share : float, default=0
        Guaranteed fraction of every resource; lent to other teams while unused.
    limit : Resources or None, default=None
        Hard limit of the team's usage at any time.
    """

    share: float = 0.0
    limit: Resources | None = None


NO_QUOTA = TeamQuota()


@dataclass(eq=False, slots=True)
class TeamUsage:
    """Resource usage of each team.

    Notes
    -----
    The order of teams is weighted dominant-resource fairness: the share of a
    team is that of the resource of which it uses the largest fraction. See
    Ghodsi et al., "Dominant Resource Fairness", NSDI 2011.
    """

    quotas: Mapping[str, TeamQuota] = field(default_factory=dict)
    used: dict[str, Resources] = field(default_factory=dict)
    total: Resources = NO_RESOURCES
    _ranks: dict[str, float] = field(default_factory=dict)

    def quota(self, team: str) -> TeamQuota:
        """Return the quota of a team."""
        return self.quotas.get(team, NO_QUOTA)

    def set_quotas(self, quotas: Mapping[str, TeamQuota]) -> None:
        """Replace the quotas."""
        self.quotas = dict(quotas)
        self._ranks.clear()

    def set_total(self, total: Resources) -> None:
        """Set the capacity of which shares are fractions."""
        if total is not self.total:
            self.total = total
            self._ranks.clear()

    def charge(self, team: str, need: Resources) -> None:
        """Add a task that occupies a worker to its team's usage."""
        self.used[team] = self.used.get(team, NO_RESOURCES) + need
        self._ranks.pop(team, None)

    def credit(self, team: str, need: Resources) -> None:
        """Remove a task from its team's usage."""
        left = self.used[team] - need
        self._ranks.pop(team, None)
        if left.slots <= 0 and left.connections <= 0 and left.cores <= 1e-9:
            del self.used[team]
        else:
            self.used[team] = left

    def dominant_share(self, team: str, extra: Resources = NO_RESOURCES) -> float:
        """Return the largest fraction of any resource that a team uses.

        Parameters
        ----------
        extra : Resources
            Added to the current usage of the team.
        """
        used = self.used.get(team, NO_RESOURCES) + extra
        total = self.total
        return max(
            used.cores / total.cores if total.cores else 0.0,
            used.memory_mb / total.memory_mb if total.memory_mb else 0.0,
            used.accelerators / total.accelerators if total.accelerators else 0.0,
            used.slots / total.slots if total.slots else 0.0,
        )

    def rank(self, team: str) -> float:
        """Return the dominant share relative to the team's weight."""
        rank = self._ranks.get(team)
        if rank is None:
            weight = max(self.quota(team).share, DEFAULT_WEIGHT)
            steps = self.dominant_share(team) // SHARE_STEP
            rank = self._ranks[team] = steps * SHARE_STEP / weight
        return rank

    def within_limit(self, team: str, need: Resources) -> bool:
        """Return whether a team stays within its hard limit with this need."""
        limit = self.quota(team).limit
        if limit is None:
            return True
        return (self.used.get(team, NO_RESOURCES) + need).fits(limit)

    def ever_within_limit(self, team: str, need: Resources, n_tasks: int) -> bool:
        """Return whether ``n_tasks`` at a time are within the hard limit."""
        limit = self.quota(team).limit
        return limit is None or scale(need, n_tasks).fits(limit)

    def fits_share(self, team: str, need: Resources) -> bool:
        """Return whether a team stays within its guaranteed share with this need."""
        share = self.quota(team).share
        return share > 0 and self.dominant_share(team, need) <= share + 1e-9

    def borrows(self, team: str) -> bool:
        """Return whether a team uses more than its guaranteed share."""
        return self.dominant_share(team) > self.quota(team).share + 1e-9


def scale(need: Resources, count: int) -> Resources:
    """Return ``count`` times a resource vector."""
    return Resources(
        need.cores * count,
        need.memory_mb * count,
        need.accelerators * count,
        need.slots * count,
        need.connections * count,
    )
