"""Dispatch requests to hosts and handle their outcomes, for entries and gateways."""
