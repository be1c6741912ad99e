"""Rendezvous hashing over names."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def _score(key: str, member: str) -> bytes:
    return blake2b(f"{key}\0{member}".encode(), digest_size=8).digest()


def rendezvous_order(key: str, members: Iterable[str]) -> list[str]:
    """Return the members ordered by their rendezvous score for a key.

    Parameters
    ----------
    key : str
        What is to be placed.
    members : iterable of str
        Candidates; order does not matter.

    Returns
    -------
    list of str
        Best candidate first. Removing a member leaves the order of the others.

    References
    ----------
    Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
    IEEE/ACM Transactions on Networking 6(1), 1998.
    """
    return sorted(members, key=lambda member: _score(key, member), reverse=True)
