"""Runs the examples of the embedding guide."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

GUIDE = Path(__file__).parent.parent / "docs" / "EMBEDDING.md"
EXAMPLES = re.findall(r"## ([^\n]+)\n.*?```python\n(.*?)```", GUIDE.read_text(), re.S)


@pytest.mark.parametrize(("title", "code"), EXAMPLES, ids=[t for t, _ in EXAMPLES])
def test_example_runs(title, code):
    """Guards against an example that no longer matches the library."""
    exec(compile(code, title, "exec"), {})


def test_every_example_was_found():
    """Guards against examples that the regular expression does not match."""
    assert len(EXAMPLES) == GUIDE.read_text().count("```python")
