"""Refreshes live requests before the log drops them and shortens replays."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio
import structlog

from .coordination.claims import record_from_dict, record_to_dict
from .coordination.recovery import restart_point
from .coordination.retention import (
    SCAN_RECORDS,
    bookmark_due,
    bookmark_record,
    due_refreshes,
    refresh_record,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from .clock import Clock
    from .coordination.claims import Record, RequestIndex
    from .follower import Follower
    from .platform.log import LogPage

logger = structlog.get_logger(__name__)

RETENTION_INTERVAL_S = 1.0
MAX_REFRESHES_PER_ROUND = 2000
REFRESH_INTERVAL_S = 10.0  # between rounds; leaves time to read the last one back


@dataclass(eq=False)
class LogRetention:
    """Appends the refreshes and bookmarks of the stream of request records.

    A refresh repeats a live request before the log drops its records; a bookmark
    marks where a replay may begin.

    Parameters
    ----------
    follower : Follower
        The stream.
    index : RequestIndex
        State folded from the stream.
    clock : Clock
        Wall clock.
    retention_s : float, seconds
        Age at which the log drops records.
    led_shards : callable
        Returns the shards whose live requests this process refreshes.
    writes_bookmarks : callable
        Returns whether this process is the one that appends bookmarks now.
    """

    follower: Follower
    index: RequestIndex
    clock: Clock
    retention_s: float
    led_shards: Callable[[], list[str]]
    writes_bookmarks: Callable[[], bool]
    n_refreshes: int = 0
    n_bookmarks: int = 0
    _refreshed_at: float = float("-inf")

    async def find_replay_start(self) -> None:
        """Begin at the newest bookmark instead of the first record of the log.

        Raises
        ------
        CuminhillError
            If the log cannot be read.
        """
        log, stream = self.follower.log, self.follower.stream
        probe = await log.read(stream, 0, limit=1)
        begin = max(probe.start, probe.end - SCAN_RECORDS)
        records: list[tuple[int, Record]] = []
        while begin < probe.end:
            page = await log.read(stream, begin)
            records += _known_records(page)
            begin = page.records[-1][0] + 1 if page.records else probe.end
        offset, log_time = restart_point(records, probe.start)
        if offset > 0:
            self.index.reset_to(offset, log_time)
            self.follower.next_offset = offset
        logger.info("replay begins", offset=offset, end=probe.end)

    async def run(self) -> None:
        """Append refreshes and bookmarks in an endless loop."""
        while True:
            await curio.sleep(RETENTION_INTERVAL_S)
            if self.follower.reachable and self.follower.caught_up:
                await self._append_refreshes()
                await self._append_bookmark()

    async def _append_refreshes(self) -> None:
        now = time.monotonic()
        if now - self._refreshed_at < REFRESH_INTERVAL_S:
            return
        wall = self.clock.wall()
        due = due_refreshes(
            self.index,
            wall,
            self.retention_s,
            MAX_REFRESHES_PER_ROUND,
            self.led_shards(),
        )
        for entry in due:
            record = refresh_record(self.index, entry, wall)
            await self.follower.append(record_to_dict(record))
            self.n_refreshes += 1
        if due:
            self._refreshed_at = now

    async def _append_bookmark(self) -> None:
        if self.follower.n_pending or not bookmark_due(self.index):
            return
        record = bookmark_record(self.index) if self.writes_bookmarks() else None
        if record is not None:
            self.n_bookmarks += 1
            await self.follower.append(record_to_dict(record))


def _known_records(page: LogPage) -> list[tuple[int, Record]]:
    found = []
    for offset, value in page.records:
        try:
            found.append((offset, record_from_dict(value)))
        except (KeyError, TypeError):
            continue  # counted as a bad record when it is folded
    return found
