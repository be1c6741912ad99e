"""Pure placement and queueing decisions."""
