"""Counts of the requests of each team, and their reports to the platform."""
