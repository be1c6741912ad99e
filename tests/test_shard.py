"""The shard driver, without sockets."""

from __future__ import annotations

import time

import curio
import pytest

from cuminhill.coordination.claims import Claim, Done, RequestIndex, Started
from cuminhill.follower import Follower
from cuminhill.model import Answer, AnswerState, Request, RequestKind, Resources
from cuminhill.scheduling.events import RequestAccepted
from cuminhill.settings import make_settings
from cuminhill.shard import ShardDriver

ADDRESSES = ("http_address", "rpc_address", "log_address", "vm_list_address")


async def ignore(*args):
    return None


@pytest.fixture
def driver():
    """Driver that leads a shard, without workers and without a log."""
    values = {name: "127.0.0.1:1" for name in ADDRESSES}
    settings = make_settings({"vm": "e0", "failure_domain": "Tainan", **values})
    follower = Follower(None, "requests", ignore, ignore, ignore)
    follower.caught_up = True
    found = ShardDriver("Tainan/0", "e0@1", settings, follower, RequestIndex())
    found.leading = True
    return found


def fold(driver, offset, record):
    driver.index.apply(offset, record)
    curio.run(driver.on_folded, record)


def test_void_final_answer_does_not_end_a_request(driver):
    """Guards against an order that the "not run" of a stale placer ends.

    Its record was written before the placer had read that another one had started
    the task; such a record has no effect.
    """
    request = Request("id-1", RequestKind.ORDER, "team", Resources(cores=1.0))
    fold(driver, 0, Claim("id-1", "Tainan/0", request.to_dict(), at=1.0))
    curio.run(driver.apply, RequestAccepted(request))
    assert "id-1" in driver.placer.requests
    fold(driver, 1, Started("id-1", "id-1/0", "w0", 5, "incarnation-1", "e1@1#1"))
    answer = Answer("id-1", AnswerState.NOT_RUN).to_dict()
    fold(driver, 2, Done("id-1", answer, 2.0, "Tainan/0", 0, seen=-1))
    assert driver.index.get("id-1").live
    assert "id-1" in driver.placer.requests
    fold(driver, 3, Done("id-1", answer, 3.0, "Tainan/0", 0, seen=1))
    assert "id-1" not in driver.placer.requests


@pytest.mark.parametrize(
    ("state", "known"),
    [("done", "done"), ("failed", "accepted"), ("cancelled", "accepted")],
)
def test_an_answer_that_a_successor_may_change_waits_for_its_record(
    driver, state, known
):
    """Guards against two different final answers to one request (P3).

    Before the answer is in the log, a successor may run failed tasks again and has no
    results of stopped ones. Results of tasks that succeeded are kept by the workers.
    """
    request = Request("id-1", RequestKind.BATCH, "team", Resources(cores=1.0))
    fold(driver, 0, Claim("id-1", "Tainan/0", request.to_dict(), at=1.0))
    answer = Answer("id-1", AnswerState(state))
    driver.submissions.unrecorded["id-1"] = (time.monotonic() - 60.0, answer)
    assert driver.submissions.known_answer("id-1").state == known
    fold(driver, 1, Done("id-1", answer.to_dict(), 2.0, "Tainan/0", 0))
    assert driver.submissions.known_answer("id-1").state == state
