"""Stand beside one upstream: admit, queue, run and keep answers."""
