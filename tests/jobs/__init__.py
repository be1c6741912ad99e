"""Tests of `cuminhill.jobs`."""
