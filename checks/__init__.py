"""History checkers and the fault matrix."""
