"""Settings and fixtures shared by the tests of the coordination parts."""

from __future__ import annotations

import pytest
from hypothesis import Phase, settings

from bench.cell import make_cell

settings.register_profile(
    "machine",
    derandomize=True,
    deadline=None,
    database=None,
    phases=(Phase.generate,),
)


@pytest.fixture
def cell():
    """Nine members in three failure domains, after ten seconds."""
    found = make_cell(9, 3)
    found.run(10.0)
    return found
