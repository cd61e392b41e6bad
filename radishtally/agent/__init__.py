"""Agent of one upstream: admit, queue and run work, and retain its answers."""
