"""Tests of the scheduling package, without I/O."""
