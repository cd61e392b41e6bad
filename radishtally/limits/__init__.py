"""Limits on what is taken in, retried and tried."""
