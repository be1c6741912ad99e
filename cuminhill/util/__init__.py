"""Utility modules shared by the package."""
