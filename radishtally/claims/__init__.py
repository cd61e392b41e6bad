"""Run calls that are not idempotent at most once."""
