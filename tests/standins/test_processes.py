"""When a cluster of processes counts as ready."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest

from cuminhill.coordination.ownership import leader_of
from standins.processes import ProcessCluster

SHARD = "Chiayi/0"
VMS = ("chiayi-e0", "chiayi-e1")
FIRST = leader_of(SHARD, VMS)
SECOND = next(vm for vm in VMS if vm != FIRST)


@dataclass
class Daemon:
    """Daemon whose dump the test sets; by default it knows both VMs."""

    vm: str
    leader: str
    members: dict[str, str] = field(default_factory=lambda: dict.fromkeys(VMS, "1"))
    failure_domain: str = "Chiayi"
    running: bool = True

    def dump(self):
        return {
            "incarnation": "1",
            "members": [
                {"vm": vm, "state": "alive", "incarnation": incarnation}
                for vm, incarnation in self.members.items()
            ],
            "shards": {
                SHARD: {
                    "leading": self.vm == self.leader,
                    "placer": {"roster_complete": self.vm == self.leader},
                }
            },
            "routing": {"leaders": {SHARD: self.leader}},
        }


def is_ready(tmp_path, *daemons):
    cluster = ProcessCluster(tmp_path, None, {})
    cluster.daemons = {item.vm: item for item in daemons}
    try:
        cluster.wait_ready(0.05)
    except TimeoutError:
        return False
    return True


def test_cluster_is_ready_once_its_lasting_leader_is_known(tmp_path):
    """Guards against a cluster that never counts as ready."""
    assert is_ready(tmp_path, *(Daemon(vm, FIRST) for vm in VMS))
    assert is_ready(tmp_path, Daemon(SECOND, SECOND), Daemon(FIRST, "", running=False))


def test_a_leader_that_is_about_to_be_replaced_does_not_count(tmp_path):
    """Guards against a change of the leader after the cluster counted as ready.

    A daemon that started late took its shard over after the set-up, and the answers to
    checks that the earlier leader had kept were gone.
    """
    assert not is_ready(tmp_path, *(Daemon(vm, SECOND) for vm in VMS))


@pytest.mark.parametrize("known", [{}, {FIRST: "0"}])
def test_every_running_daemon_has_to_be_known_to_all(tmp_path, known):
    """Guards against a daemon that acts on a member list without a late VM."""
    second = Daemon(SECOND, FIRST, {SECOND: "1", **known})
    assert not is_ready(tmp_path, Daemon(FIRST, FIRST), second)
