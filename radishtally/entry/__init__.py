"""Take callers' requests, route them, and stream their answers back."""
