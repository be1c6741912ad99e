"""Assignment of workers to shards, and of shards to the entry VMs that lead them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..util.hashing import rank

if TYPE_CHECKING:
    from collections.abc import Iterable


def shard_names(failure_domain: str, n_shards: int) -> list[str]:
    """Return the names of a failure domain's shards."""
    return [f"{failure_domain}/{index}" for index in range(n_shards)]


def shard_of(worker_id: str, shards: list[str]) -> str:
    """Return the shard to which a worker belongs."""
    return rank(worker_id, shards)[0]


def leader_of(shard: str, vms: Iterable[str]) -> str | None:
    """Return the VM that ranks first for a shard, None without candidates."""
    ranked = rank(shard, vms)
    return ranked[0] if ranked else None
