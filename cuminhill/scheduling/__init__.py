"""Placement and queueing decisions, free of I/O."""
