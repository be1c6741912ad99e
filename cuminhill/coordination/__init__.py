"""Pure coordination parts that can be embedded without the daemon."""
