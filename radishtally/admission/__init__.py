"""Admission and order of calls to hosts without agents, across all gateways."""
