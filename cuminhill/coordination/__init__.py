"""Coordination library without I/O, which can be embedded without the daemon."""
