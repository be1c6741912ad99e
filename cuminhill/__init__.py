"""Cluster scheduler for heterogeneous workloads."""

from . import clock as clock  # notes the start of the process before other imports

__version__ = "0.1.0"
