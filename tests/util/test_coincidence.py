"""Tests of the probability that crashes of workers meet a task by chance."""

from __future__ import annotations

import pytest

from cuminhill.util.coincidence import MAX_COINCIDENCE, coincidence, crash_rate


def rate(crashes_at, now=60.0, n_excepted=0):
    """Return the rate of crashes of 24 workers that were observed from 0 s on."""
    return crash_rate(crashes_at, 24, now, 0.0, n_excepted)


# Guards against blame on a day on which workers crash often by themselves.
def test_two_crashes_prove_something_only_where_crashes_are_rare():
    rare, often = rate([30.0, 59.0], n_excepted=2), rate([i / 3 for i in range(180)])
    assert coincidence(rare, [(0.5, 2)]) < MAX_COINCIDENCE
    assert coincidence(often, [(0.5, 2)]) > MAX_COINCIDENCE
    assert coincidence(often, [(0.5, 5)]) < MAX_COINCIDENCE


# Guards against a rate that lags behind when crashes begin after a quiet time.
def test_the_rate_follows_a_series_that_has_just_begun():
    in_series = [i / 0.8 for i in range(48)]
    assert rate([58.0, 58.5, 59.0, 59.5]) > 0.9 * rate(in_series)


# Guards against blame by a placer that has only just begun to observe the workers.
def test_a_short_observation_proves_less():
    assert rate([], now=0.0) == rate([0.0], now=1.0) > rate([])


# Guards against a task that lasts and meets each crash of its worker sooner or later.
def test_a_long_exposure_proves_nothing():
    assert coincidence(0.1, [(0.5, 0), (100.0, 9)]) == pytest.approx(1.0)
