"""Cluster scheduler for unlike workloads."""

__version__ = "0.1.0"
