"""Choice of the host that a request is offered to."""
