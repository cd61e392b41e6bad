"""Measure what one more of anything costs: the slopes behind docs/CAPACITY.md."""
