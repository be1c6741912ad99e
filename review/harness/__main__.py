"""Runs the script of one case: ``python3 -m review.harness NUMBER``."""

from __future__ import annotations

import runpy
import sys
from pathlib import Path

if __name__ == "__main__":
    folder = Path(__file__).resolve().parents[1] / sys.argv[1]
    runpy.run_path(str(folder / "case.py"), run_name="__main__")
