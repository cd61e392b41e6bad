"""At-most-once execution of calls that are not idempotent."""
