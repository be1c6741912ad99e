"""Tests of merging and comparing nested tables."""

from __future__ import annotations

from cuminhill.util.tables import diff_tables, merge_tables


def test_tables_merge_and_other_values_replace():
    """Guards against an overlay that drops a table or appends to a list."""
    base = {"a": {"x": 1, "y": [1, 2]}, "b": 1, "c": {"z": 1}}
    overlay = {"a": {"y": [3]}, "b": {"k": 1}, "c": 2}
    merged = {"a": {"x": 1, "y": [3]}, "b": {"k": 1}, "c": 2}
    assert merge_tables(base, overlay) == merged
    assert base["a"] == {"x": 1, "y": [1, 2]}


def test_diff_lists_changed_added_and_removed_values():
    """Guards against a change that is published without being shown."""
    old = {"a": {"x": 1, "y": 2}, "b": 1}
    changes = diff_tables(old, {"a": {"x": 3, "z": 2}, "b": 1})
    rows = [(item.key, item.old, item.new) for item in changes]
    assert rows == [("a.x", 1, 3), ("a.y", 2, "absent"), ("a.z", "absent", 2)]
