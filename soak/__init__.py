"""Run the real programs under faults from outside, and check what is promised."""
