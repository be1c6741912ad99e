"""Fixtures shared by the tests."""

from __future__ import annotations

import pytest

from standins.processes import process_cluster


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    """Three entry VMs in Tainan and two in Chiayi, as separate processes."""
    directory = tmp_path_factory.mktemp("cluster")
    with process_cluster(
        directory, {"Tainan": 4, "Chiayi": 3}, {"Tainan": 3, "Chiayi": 2}
    ) as running:
        yield running
