"""Membership: which hosts exist, and which of them may be given work."""
