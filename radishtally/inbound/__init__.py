"""Bounds on what clients send to the listeners of a process."""
