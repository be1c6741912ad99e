"""Tests of the pure scheduling parts."""
