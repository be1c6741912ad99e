"""API keys of teams, and which jobs a caller may ask for or cancel.

Keys appear in no log, metric, dump, record or error; a table keeps only digests.
"""

from __future__ import annotations

import hashlib
import secrets
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from ..errors import ValidationError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .jobindex import JobEntry
    from .model import QueueTable, Team

DIGEST_BYTES = 16
# Characters of each of two names in an error, of which 120 characters are logged.
MAX_LOGGED_NAME = 32
# Known only to this process, so that nobody can choose keys whose digests share a
# prefix with a valid one's, and the time of a look-up tells nothing about valid keys.
_SECRET = secrets.token_bytes(32)


def _digest(key: str) -> bytes:
    # "replace", since an encoding error would carry the key in its text.
    data = key.encode("utf-8", "replace")
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES, key=_SECRET).digest()


@dataclass(frozen=True, slots=True, eq=False)
class KeyTable:
    """Keys of all teams of one version of the configuration; see `make_key_table`.

    Parameters
    ----------
    n_keys : dict
        Number of keys by name of the team.
    """

    n_keys: Counter[str] = field(default_factory=Counter)
    _names: dict[bytes, str] = field(default_factory=dict, repr=False)

    def find_name(self, authorization: str) -> str:
        """Return the name of the team of an ``Authorization`` header.

        Returns
        -------
        name : str
            Empty if the header is not of the form ``Bearer KEY`` or the key is unknown.
        """
        scheme, _, key = authorization.strip().partition(" ")
        if scheme.lower() != "bearer":
            return ""
        return self._names.get(_digest(key.strip()), "")


def make_key_table(teams: Iterable[tuple[str, Iterable[str]]]) -> KeyTable:
    """Return the table of the names of teams and their keys.

    Raises
    ------
    ValidationError
        If two teams have the same key; the message names the teams.
    """
    table = KeyTable()
    for name, keys in teams:
        for key in keys:
            other = table._names.setdefault(_digest(key), name)
            if other != name:
                raise ValidationError(
                    f"a key of both {ascii(other)[:MAX_LOGGED_NAME]} "
                    f"and {ascii(name)[:MAX_LOGGED_NAME]}",
                    step="config",
                )
    table.n_keys.update(table._names.values())
    return table


def find_team(table: QueueTable, authorization: str) -> Team | None:
    """Return the team of a caller's ``Authorization`` header.

    Without teams in the configuration, the header is not read.
    """
    if table.teams is None or table.keys is None:
        return None
    return table.teams.get(table.keys.find_name(authorization))


def is_foreign(table: QueueTable, team: Team | None, entry: JobEntry | None) -> bool:
    """Return whether a job is another team's than the caller's.

    Parameters
    ----------
    team : Team or None
        The caller's team; None if the caller has sent no valid key, which only public
        queues permit.
    entry : JobEntry or None
        The job. If it, or its team, is not known to this VM, nothing is refused.
    """
    if table.teams is None or entry is None or not entry.team:
        return False
    if team is not None:
        return team.name != entry.team
    # The queue in the path of the request may be another one than the job's: the path
    # of a public queue must not give access to the jobs of other queues.
    queue = table.queues.get(entry.queue)
    return queue is None or not queue.public


def dump_teams(table: QueueTable, entries: Iterable[JobEntry]) -> dict[str, Any]:
    """Return the teams of the configuration and their jobs by state, for a dump.

    Jobs of removed teams are left out, so that teams that come and go add no series to
    the metrics.
    """
    jobs: dict[str, Counter[str]] = {name: Counter() for name in table.teams or ()}
    for entry in entries:
        if entry.team in jobs:
            jobs[entry.team][entry.state.value] += 1
    n_keys = table.keys.n_keys if table.keys is not None else Counter[str]()
    return {
        name: {
            "weight": team.weight,
            "cap": {
                "cores": team.cap.cores,
                "memory_mb": team.cap.memory_mb,
                "accelerators": team.cap.accelerators,
            },
            "n_keys": n_keys[name],
            "jobs": dict(jobs[name]),
        }
        for name, team in (table.teams or {}).items()
    }
