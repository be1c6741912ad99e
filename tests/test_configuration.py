"""Tests of the configuration in force in one process."""

from __future__ import annotations

from pathlib import Path

import curio

from cuminhill.clock import SystemClock
from cuminhill.configuration import Configuration
from cuminhill.coordination.configstream import (
    ConfigBookmark,
    Publication,
    Revision,
    config_record_to_dict,
)
from cuminhill.platform.log import LogPage
from cuminhill.siteconfig import load_config

OVERLAY = Path(__file__).parent.parent / "config" / "formosa.toml"


def test_a_restarted_process_shows_no_older_revision():
    """Guards against a configuration that goes back after a restart.

    The stream is read page by page from its oldest record. Each revision on the way was
    in force again for a moment, and the process was ready with the first of them.
    """
    shown = []

    async def scenario():
        async def on_change(_site):
            shown.append(configuration.revision)

        config = load_config(OVERLAY).to_dict()
        records = [
            config_record_to_dict(Publication(f"p{n}", "op", n, config, float(n)))
            for n in range(4)
        ]
        configuration = Configuration(None, SystemClock(), on_change)
        apply_page = configuration.follower._apply_page
        rows = list(enumerate(records))
        for start in (0, 1):
            await apply_page(LogPage(0, 3, rows[start : start + 1]))
            assert (configuration.site, configuration.revision) == (None, 0)
        await apply_page(LogPage(0, 3, rows[2:3]))
        newest = configuration.state.in_force.revision
        assert configuration.revision == newest
        await apply_page(LogPage(0, 4, rows[3:]))
        assert shown[0] == newest
        assert shown == sorted(shown)

    curio.run(scenario)


def test_a_peer_that_lags_puts_no_older_revision_in_force_during_the_replay():
    """Guards against a configuration that goes back after a restart.

    A daemon that was started again loaded the snapshot of the first peer that it heard,
    while it was still reading the stream in which a newer revision follows.
    """

    async def ignore(_site):
        return None

    async def scenario():
        config = load_config(OVERLAY).to_dict()
        configuration = Configuration(None, SystemClock(), ignore)
        snapshot = config_record_to_dict(
            ConfigBookmark(1, 1.0, (Revision(2, "p1", "op", 1.0),), config, 2.0)
        )
        configuration.follower.reachable = True
        await configuration.adopt(snapshot)
        assert (configuration.site, configuration.revision) == (None, 0)
        # Without the log, the peer's revision is the newest that can be known.
        configuration.follower.reachable = False
        await configuration.adopt(snapshot)
        assert configuration.revision == 2

    curio.run(scenario)
