"""Follows, publishes and applies the site's configuration."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import curio
import structlog

from .coordination.configstream import (
    Accepted,
    ConfigBookmark,
    Publication,
    config_record_from_dict,
    config_record_to_dict,
    has_known_config_type,
    make_config_state,
)
from .errors import SettingsError, UnavailableError, UnknownOutcomeError
from .follower import Follower
from .scheduling.policies import Weights
from .scheduling.quotas import TeamQuota
from .siteconfig import SiteConfig, parse_config

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from .clock import Clock
    from .coordination.configstream import ConfigState, Outcome, Revision
    from .platform.log import Log

logger = structlog.get_logger(__name__)

STREAM = "config"
PUBLISH_WAIT_S = 5.0
READ_BACK_POLL_S = 0.02


@dataclass(eq=False)
class Configuration:
    """Configuration in force in this process, and its stream of the log.

    Parameters
    ----------
    log : Log
        The log service.
    clock : Clock
        Wall clock for the times in records.
    on_change : callable
        Coroutine function called with each configuration that comes into force.
    in_force : Revision or None
        Revision of `site`. While the stream is read again after a start, it is not
        that of the newest record read, which may be older than one shown before.
    """

    log: Log
    clock: Clock
    on_change: Callable[[SiteConfig], Awaitable[None]]
    state: ConfigState = field(default_factory=make_config_state)
    site: SiteConfig | None = None
    in_force: Revision | None = None
    applied_at: float = 0.0
    n_bad_records: int = 0

    def __post_init__(self) -> None:
        self.follower = Follower(
            self.log, STREAM, self._on_record, self._on_gap, self._on_caught_up
        )

    @property
    def revision(self) -> int:
        """Revision in force, 0 for none."""
        return self.in_force.revision if self.in_force is not None else 0

    async def publish(
        self, publication_id: str, author: str, base: int, config: dict[str, Any]
    ) -> Outcome:
        """Propose a configuration and return the outcome.

        Parameters
        ----------
        publication_id : str
            Unique; a repeat with the same id returns the same outcome.
        author : str
            Name of the operator.
        base : int
            Revision that the proposal is based on.
        config : dict
            The whole configuration.

        Raises
        ------
        SettingsError
            If the configuration is invalid; nothing was published.
        UnavailableError
            If the log cannot be reached; nothing was published.
        UnknownOutcomeError
            If the outcome could not be read back; repeat with the same id.
        """
        parse_config(config, "configuration")
        known = self.state.outcome(publication_id)
        if known is not None:
            return known
        if not self.follower.reachable:
            raise UnavailableError("the log is unreachable", step="publish")
        record = Publication(publication_id, author, base, config, self.clock.wall())
        pending = await self.follower.append(config_record_to_dict(record))
        give_up_at = time.monotonic() + PUBLISH_WAIT_S
        while time.monotonic() < give_up_at:
            outcome = self.state.outcome(publication_id)
            if outcome is not None:
                return outcome
            await curio.sleep(READ_BACK_POLL_S)
        if self.follower.withdraw(pending):
            raise UnavailableError("the log is unreachable", step="publish")
        raise UnknownOutcomeError(
            f"publication {publication_id} was not read back", step="publish"
        )

    def snapshot(self) -> dict[str, Any] | None:
        """Return the state for a peer, None if there is no reliable one."""
        bookmark = self.state.bookmark(self.clock.wall())
        return None if bookmark is None else config_record_to_dict(bookmark)

    async def adopt(self, value: dict[str, Any]) -> None:
        """Load a peer's snapshot, for use while the log is unreachable.

        While the log is read to its end after a start, nothing comes into force: the
        peer may lag behind what this VM has shown before.
        """
        record = config_record_from_dict(value)
        if not isinstance(record, ConfigBookmark):
            raise TypeError("not a snapshot")
        self.state.adopt(record)
        is_replaying = self.follower.reachable and not self.follower.caught_up
        if self.state.in_force.revision > self.revision and not is_replaying:
            await self._apply()
        self.follower.next_offset = max(
            self.follower.next_offset, self.state.next_offset
        )

    async def append_due_bookmark(self, retention_s: float) -> None:
        """Append a bookmark if one is due; one process at a time should call this."""
        wall = self.clock.wall()
        if self.follower.n_pending or not self.state.bookmark_due(wall, retention_s):
            return
        bookmark = self.state.bookmark(wall)
        if bookmark is not None:
            await self.follower.append(config_record_to_dict(bookmark))

    def dump(self) -> dict[str, Any]:
        """Return the state in JSON-ready form."""
        return {
            "revision": self.revision,
            "author": self.in_force.author if self.in_force is not None else "",
            "digest": self.site.digest() if self.site else "",
            "judging": self.state.in_sync,
            "next_offset": self.state.next_offset,
            "reachable": self.follower.reachable,
            "n_lost": self.state.n_lost,
            "n_gaps": self.state.n_gaps,
            "n_ignored_bookmarks": self.state.n_ignored_bookmarks,
            "n_bad_records": self.n_bad_records + self.follower.n_failed_records,
        }

    async def _on_record(self, offset: int, value: dict[str, Any]) -> None:
        try:
            record = config_record_from_dict(value)
        except (KeyError, TypeError):
            self.n_bad_records += 1
            if not has_known_config_type(value):
                self.state.skip(offset)
            return
        changed = self.state.apply(offset, record) is not None
        if changed and self.follower.caught_up:
            await self._apply()

    async def _on_gap(self, start: int) -> None:
        self.state.skip_to(start)

    async def _on_caught_up(self) -> None:
        if self.state.in_force.revision > self.revision:
            await self._apply()

    async def _apply(self) -> None:
        revision = self.state.in_force
        try:
            self.site = parse_config(self.state.config, f"revision {revision.revision}")
        except SettingsError as exc:
            # Only a daemon of another version can have accepted this revision.
            self.n_bad_records += 1
            logger.warning("configuration not understood", error=str(exc))
            return
        self.in_force, self.applied_at = revision, self.clock.wall()
        logger.info(
            "configuration in force", revision=revision.revision, author=revision.author
        )
        await self.on_change(self.site)


def outcome_to_dict(outcome: Outcome) -> dict[str, Any]:
    """Return the outcome of a publication in JSON-ready form."""
    if isinstance(outcome, Accepted):
        return {"accepted": True, "revision": outcome.revision}
    winner = outcome.winner
    return {"accepted": False, "revision": winner.revision, "author": winner.author}


def placement_weights(site: SiteConfig) -> Weights:
    """Return the weights of placement decisions for a site."""
    return Weights(
        waiting=site.weights.waiting,
        packing=site.weights.packing,
        control_cost=site.weights.control_cost,
        check_reserve=site.check_reserve.share,
    )


def team_quotas(site: SiteConfig, failure_domain: str) -> dict[str, TeamQuota]:
    """Return each team's guaranteed share of a failure domain's capacity."""
    return {
        team: TeamQuota(share=site.quota_share(team, failure_domain))
        for team in site.teams
    }
