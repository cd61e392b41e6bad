"""Read a daemon's settings."""
