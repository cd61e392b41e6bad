"""Direct upstreams: hosts that are reached over HTTP, without an agent."""
