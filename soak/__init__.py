"""Inject faults into the real programs and check the guarantees that callers see."""
