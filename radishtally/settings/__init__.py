"""Settings of a daemon."""
