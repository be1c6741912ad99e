"""Interfaces to the platform: log, VM list and workers."""
