"""Limits on admission, retries and requests to failing peers."""
