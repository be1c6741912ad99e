"""Fixtures shared by the tests."""

from __future__ import annotations

import sys

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


@pytest.fixture
def n_lines():
    """Return a function that counts the lines of Python that a call executes."""

    def count(call):
        n_executed = 0

        def trace(frame, event, arg):
            nonlocal n_executed
            n_executed += event == "line"
            return trace

        earlier = sys.gettrace()
        sys.settrace(trace)
        try:
            call()
        finally:
            sys.settrace(earlier)
        return n_executed

    return count
