"""Tests of the delays of the event loop."""

from __future__ import annotations

import time

import curio
import pytest
from structlog.testing import capture_logs

from cuminhill.util.looplag import LINE_INTERVAL_S, MIN_HELD_UP_S, LoopLag


# Guards against a process that is held up without a line or a count of it.
def test_a_delay_is_counted_and_told_with_its_processor_time():
    lag = LoopLag()
    with capture_logs() as lines:
        lag.note_wake_up(100.0, 100.0 + MIN_HELD_UP_S, 0.2)
    assert lag.dump() == {"n_delays": 1, "held_up_s": MIN_HELD_UP_S}
    (line,) = lines
    assert (line["held_up_s"], line["cpu_s"]) == (MIN_HELD_UP_S, 0.2)


# Guards against counts and lines of wake-ups that are late by a moment, as all are.
def test_short_delays_are_not_counted():
    lag = LoopLag()
    with capture_logs() as lines:
        lag.note_wake_up(100.0, 100.0 + MIN_HELD_UP_S / 2, 0.0)
    assert (lag.n_delays, lines) == (0, [])


# Guards against a log that a process fills which is held up again and again.
def test_lines_are_limited_and_counts_are_not():
    lag = LoopLag()
    with capture_logs() as lines:
        for number in range(10):
            now = 100.0 + number * LINE_INTERVAL_S / 5
            lag.note_wake_up(now - 0.5, now, 0.5)
    assert lag.n_delays == 10
    assert lag.held_up_s == pytest.approx(5.0)
    assert len(lines) == 2


# Guards against a probe that does not see the work of other tasks.
def test_work_of_another_task_is_seen():
    lag = LoopLag()

    async def main():
        task = await curio.spawn(lag.run, daemon=True)
        await curio.sleep(0)
        time.sleep(2 * MIN_HELD_UP_S + 0.2)
        await curio.sleep(0)
        await task.cancel()

    curio.run(main)
    assert lag.n_delays == 1
