"""Accept requests from callers, route them to hosts and stream the answers back."""
