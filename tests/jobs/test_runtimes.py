"""Tests of expected run times with declared ones that are off by factors."""

from __future__ import annotations

import math
import random

import pytest

from cuminhill.jobs.runtimes import RunTimes


def learn(rng, *, spread, n_steps=100):
    """Return estimates from steps of about 0.8 s, declared with some spread."""
    known = RunTimes()
    for _ in range(n_steps):
        actual = math.log(0.8) + rng.gauss(0.0, 0.5)
        known.observe(actual + rng.gauss(0.0, spread), actual)
    return known


@pytest.mark.parametrize("seed", range(5))
def test_uninformative_declared_times_move_to_the_queues_mean(seed):
    """Guards against a check that counts as late because it was declared as short.

    Declared times are off by a factor of 2.5.
    """
    known = learn(random.Random(seed), spread=0.9)
    assert known.slope < 0.5
    for declared_s in (0.1, 5.0):
        estimate = math.log(known.estimate_s(declared_s))
        off_mean = abs(estimate - math.log(0.8))
        assert off_mean < abs(estimate - math.log(declared_s))


@pytest.mark.parametrize("seed", range(5))
def test_accurate_declared_times_are_used(seed):
    """Guards against a long step estimated as an average one."""
    known = learn(random.Random(seed), spread=0.1)
    for declared_s in (0.3, 3.0):
        assert known.estimate_s(declared_s) == pytest.approx(declared_s, rel=0.25)


def test_without_any_ends_the_declared_time_is_used():
    """Guards against estimates that are not based on any data."""
    assert RunTimes().estimate_s(2.5) == pytest.approx(2.5)
    assert RunTimes().estimate_s(0.0) == 0.0


def test_one_wrong_time_changes_little():
    """Guards against estimates dominated by the first step of a queue."""
    known = RunTimes()
    known.observe(math.log(2.0), math.log(0.1))
    assert 0.5 < known.estimate_s(2.0) < 2.0
