"""Cluster scheduler for heterogeneous workloads."""

__version__ = "0.1.0"
