"""Distribute every accepted configuration to all processes."""
