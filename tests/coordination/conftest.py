"""Simulated exchange of heartbeats, shared by the membership tests."""

from __future__ import annotations

import pytest

from bench.cell import make_cell


@pytest.fixture
def cell():
    """Nine members in three failure domains, after ten seconds."""
    found = make_cell(9, 3)
    found.run(10.0)
    return found
