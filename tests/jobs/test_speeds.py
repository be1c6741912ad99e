"""Tests of speed estimates with rough declared times and workers of two speeds."""

from __future__ import annotations

import json
import math
import random

import pytest

from cuminhill.errors import ProtocolError
from cuminhill.jobs.runtimes import RunTimes
from cuminhill.jobs.speeds import SpeedModel, encode_speeds, load_speeds

# True speed of each worker, and the spread of task lengths within a step.
SPEEDS = [1.8, 0.83, 0.83, 0.83] * 10
TASK_SPREAD = 0.2


def end_step(model, step, declared_s, ends):
    """Record the ends of one step, given as pairs of worker and run time."""
    for worker_id, actual_s in sorted(ends, key=lambda end: end[1]):
        model.observe(worker_id, 1, step, actual_s)
    return model.step_done(step, "q", declared_s)


def learn(model, rng, n_steps, *, declared_spread):
    """Run steps of four tasks each on random workers."""
    for number in range(n_steps):
        length_s = rng.lognormvariate(0.0, 0.5)
        declared_s = length_s * rng.lognormvariate(0.0, declared_spread)
        ends = [
            (
                f"w{worker}",
                length_s * rng.lognormvariate(0.0, TASK_SPREAD) / SPEEDS[worker],
            )
            for worker in rng.sample(range(len(SPEEDS)), 4)
        ]
        end_step(model, f"step{number}", declared_s, ends)


def n_in_order(model):
    """Return how many fast workers are among those estimated as the fastest."""
    n_fast = sum(speed > 1 for speed in SPEEDS)
    names = [f"w{worker}" for worker in range(len(SPEEDS))]
    names.sort(key=lambda name: -model.speed(name, 1))
    return sum(SPEEDS[int(name[1:])] > 1 for name in names[:n_fast])


@pytest.mark.parametrize("seed", range(5))
def test_fast_workers_are_found_despite_uninformative_declared_times(seed):
    """Guards against speeds that only reflect wrong declared times.

    Declared times are off by a factor of 2.5, fast and slow workers differ by 2.2.
    """
    model = SpeedModel()
    learn(model, random.Random(seed), 120, declared_spread=0.9)
    assert n_in_order(model) >= 9
    assert model.run_times["q"].slope < 0.5


def test_speeds_are_on_the_scale_of_declared_times():
    """Guards against speeds that are correct only relative to each other."""
    model = SpeedModel()
    learn(model, random.Random(1), 400, declared_spread=0.2)
    for worker, speed in enumerate(SPEEDS):
        assert model.speed(f"w{worker}", 1) == pytest.approx(speed, rel=0.35)


def test_speed_is_learned_from_noisy_estimates():
    """Guards against a speed distorted by single wrong declared times."""
    model = SpeedModel()
    for number in range(60):
        factor = (0.5, 1.0, 2.0)[number % 3]
        ends = [("w", 1.0), ("x", 1.7), ("y", 1.7)]
        length_s = end_step(model, f"s{number}", 1.7 * factor, ends)
    ratio = model.speed("w", 1) / model.speed("x", 1)
    assert ratio == pytest.approx(1.7, rel=0.15)
    assert length_s == pytest.approx(1.7 * model.speed("x", 1), rel=0.15)
    assert set(model.speeds) == {"w", "x", "y"}


def test_a_worker_that_becomes_slow_is_noticed_within_a_few_ends():
    """Guards against a mean in which old ends count for too long."""
    model = SpeedModel()
    learn(model, random.Random(2), 100, declared_spread=0.2)
    before = model.speed("w0", 1)
    for number in range(6):
        others = [(f"w{worker}", 1 / SPEEDS[worker]) for worker in (1, 2, 4)]
        ends = [("w0", 4 / SPEEDS[0]), *others]
        end_step(model, f"late{number}", 1.0, ends)
    assert model.speed("w0", 1) < before / 2


def test_a_new_incarnation_of_a_worker_has_no_known_speed():
    """Guards against using the speed of another machine with the same id."""
    model = SpeedModel()
    learn(model, random.Random(3), 50, declared_spread=0.2)
    assert model.speed("w0", 2) == 1.0


def test_the_next_placer_loads_the_speeds():
    """Guards against losing all speeds at each change of the placer."""
    model, after = SpeedModel(), SpeedModel()
    learn(model, random.Random(4), 100, declared_spread=0.5)
    load_speeds(after, encode_speeds(model))
    for worker in range(len(SPEEDS)):
        before = model.speed(f"w{worker}", 1)
        assert math.isclose(after.speed(f"w{worker}", 1), before, rel_tol=0.02)


@pytest.mark.parametrize("value", [b"[]", b'{"w": 1}', b"x", b'{"w": [1, "a", 2]}'])
def test_unreadable_speeds_are_rejected(value):
    """Guards against a malformed record that ends a term."""
    with pytest.raises(ProtocolError):
        load_speeds(SpeedModel(), value)


def test_speeds_of_a_kind_apply_to_workers_without_ends():
    """Guards against urgent work on slow workers in the first seconds of a term.

    Ends on some workers of a kind update the estimate for the others.
    """
    model = SpeedModel()
    speeds = {"a": 1.7, "b": 0.7}
    for number in range(20):
        for kind, speed in speeds.items():
            model.observe(f"{kind}{number % 4}", 1, f"s{number}", 1.0 / speed, kind)
        model.step_done(f"s{number}", "q", 1.0)
    assert model.speed("b9", 1, "b") < 1.0 < model.speed("a9", 1, "a")
    ratio = model.speed("a9", 1, "a") / model.speed("b9", 1, "b")
    assert ratio == pytest.approx(1.7 / 0.7, rel=0.15)


@pytest.mark.parametrize("seed", range(3))
def test_an_uninformative_kind_does_not_hide_a_workers_own_speed(seed):
    """Guards against one speed for all workers if kinds do not differ in speed."""
    rng = random.Random(seed)
    model = SpeedModel()
    for number in range(150):
        for worker in rng.sample(range(len(SPEEDS)), 4):
            actual_s = rng.lognormvariate(0.0, TASK_SPREAD) / SPEEDS[worker]
            model.observe(f"w{worker}", 1, f"s{number}", actual_s, "ab"[worker % 2])
        model.step_done(f"s{number}", "q", 1.0)
    names = [f"w{worker}" for worker in range(len(SPEEDS))]
    names.sort(key=lambda name: -model.speed(name, 1, "ab"[int(name[1:]) % 2]))
    n_fast = sum(speed > 1 for speed in SPEEDS)
    assert sum(SPEEDS[int(name[1:])] > 1 for name in names[:n_fast]) >= 9


def test_remembered_steps_are_bounded():
    """Guards against memory use that grows with each unfinished step."""
    model = SpeedModel()
    for number in range(5000):
        model.observe("w", 1, f"s{number}", 1.0)
    assert len(model.ends) <= 2000


ODD_SPEEDS = [
    {"workers": {"w0": [1, "a", 1e6, 0.1]}},
    {"workers": {"w0": [1, "a", 0.1, -1.0]}},
    {"workers": {"w0": [1 << 64, "a", 0.1, 0.1]}},
    {"workers": {"w0": [1, "a", "fast", 0.1]}},
    {"workers": {"w0": [1, "a"]}},
    {"workers": [[]]},
    {"kinds": {"a": [1e6, 0.1, 0.1]}},
    {"kinds": {"a": ["NaN", 0.1, 0.1]}},
    {"queues": {"q": [5.0, 1e6, 0.0, 0.1, 0.1, 0.1]}},
    {"queues": {"q": [5.0, 0.0, 0.0, -0.1, 0.1, 0.1]}},
    {"queues": {"q": [1e300, 0.0, 0.0, 0.1, 0.1, 0.1]}},
    {"queues": {"q": 7}},
    {"queues": 7},
]
ODD_VALUES = [
    b"",
    b"7",
    b"[" * 100_000 + b"]" * 100_000,
    b'{"workers":' + b"[" * 1000 + b"]" * 1000 + b',"kinds":{},"queues":{}}',
    b'{"workers":{},"kinds":{"a":[NaN,0.1,0.1]},"queues":{}}',
    *[
        json.dumps({"workers": {}, "kinds": {}, "queues": {}} | fields).encode()
        for fields in ODD_SPEEDS
    ],
]


# Guards against estimates from the journal that overflow, or divide by zero, in each
# decision of each new placer.
@pytest.mark.parametrize("value", ODD_VALUES)
def test_odd_speeds_are_not_loaded(value):
    model = SpeedModel()
    with pytest.raises(ProtocolError):
        load_speeds(model, value)
    assert not (model.speeds or model.kinds or model.run_times)


def test_equal_declared_times_do_not_stop_the_next_placer():
    """Guards against a division by the variance, which is written as 0.0.

    Each new placer failed at its first decision.
    """
    model = SpeedModel()
    run_times = model.run_times["q"] = RunTimes()
    for _ in range(3000):
        run_times.observe(math.log(2.0), math.log(3.0))
    loaded = SpeedModel()
    load_speeds(loaded, encode_speeds(model))
    assert loaded.run_times["q"].var == 0.0
    assert loaded.run_time_s("q", 2.0) == pytest.approx(3.0, rel=0.1)
    assert math.isfinite(loaded.run_time_s("q", 5.0))
