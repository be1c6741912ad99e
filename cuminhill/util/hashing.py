"""Rendezvous hashing over names."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def _score(key: str, member: str) -> bytes:
    return blake2b(f"{key}\0{member}".encode(), digest_size=8).digest()


def rendezvous_order(key: str, members: Iterable[str]) -> list[str]:
    """Return the members in descending order of their rendezvous score for a key.

    Parameters
    ----------
    key : str
        Key for which the members are ranked.
    members : iterable of str
        Candidates, in any order.

    Returns
    -------
    list of str
        Highest score first. Removing a member does not reorder the others.

    References
    ----------
    Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
    IEEE/ACM Transactions on Networking 6(1), 1998.
    """
    return sorted(members, key=lambda member: _score(key, member), reverse=True)
