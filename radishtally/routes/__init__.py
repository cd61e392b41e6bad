"""Routes: map requests to upstreams, with timeouts, priorities and retry limits."""
