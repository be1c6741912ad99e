"""Shortcuts of the checks for stalled runs and of the speeds, against plain forms."""

from __future__ import annotations

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from cuminhill.jobs import watch
from cuminhill.jobs.model import RunningTask
from cuminhill.jobs.speeds import Evidence, Kind, SpeedModel

from .builders import (
    BEGUN_AT,
    WALL,
    answer_renewal,
    make_job,
    make_placer,
    make_step,
    mark_started,
    submit,
)

PERCENTS = st.sampled_from([0.0, 5.0, 5.0, 5.0, 40.0, 100.0])
PAUSES = st.sampled_from([0.05, 0.2, 0.6, 0.7, 2.4, 3.0])


@settings(deadline=None)
@given(st.lists(st.tuples(PAUSES, PERCENTS, st.booleans()), max_size=25))
def test_a_run_that_is_skipped_needs_no_action(rows):
    """Guards against stalled runs that are noticed late, or not written in time."""
    placer = make_placer(n_workers=1)
    progress = submit(placer, make_job(make_step(run_time_s=8.0)))
    placements, _ = placer.decide(BEGUN_AT, WALL)
    mark_started(placer, placements)
    key, run = placements[0].key, placements[0].run
    slot = placer.workers["w1"].slots[key, run]
    now = BEGUN_AT
    for pause_s, percent, reports in rows:
        now += pause_s
        if reports:
            row = RunningTask(key, run, "", percent)
            answer_renewal(placer, "w1", now, running=(row,))
        if slot.stopping_at:
            return
        if watch._has_progressed(slot, now):
            assert not watch._is_stalled(placer, slot, now)
            placer.take_dirty()
            watch._store_time_without_progress(placer, slot)
            assert not placer.take_dirty()
        placer.tick(now)
    assert progress.n_assigned == 1


_MEANS = st.floats(-3.0, 3.0)
_VARS = st.floats(0.001, 1.0)


@given(
    st.lists(st.tuples(_MEANS, _VARS), max_size=8),
    _MEANS,
    _VARS,
    st.sampled_from([1, 2]),
    st.sampled_from(["", "a", "b"]),
)
def test_a_speed_is_the_mean_of_the_whole_estimate(ends, mean, var, incarnation, kind):
    """Guards against two estimates of one worker's speed that differ."""
    model = SpeedModel()
    known = model.speeds["w1"] = Evidence(1, kind)
    for observed, end_var in ends:
        known.update(observed, end_var)
    model.kinds["a"] = Kind()
    model.kinds["a"].observe(mean, var)
    expected = math.exp(model._posterior("w1", incarnation, kind).mean)
    assert model.speed("w1", incarnation, kind) == expected
