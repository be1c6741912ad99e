"""Tests of a node's process with many clients at once."""
