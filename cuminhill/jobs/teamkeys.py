"""API keys of teams; `teamaccess` decides by them.

Keys appear in no log, metric, dump, record or error; a table keeps only digests.
"""

from __future__ import annotations

import hashlib
import secrets
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..errors import ValidationError

if TYPE_CHECKING:
    from collections.abc import Iterable

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
