"""Small helpers shared by the package."""
