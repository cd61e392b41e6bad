"""Decide what becomes of requests at hosts; shared by entries and gateways."""
