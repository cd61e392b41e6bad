"""Reach the platform: its table service, object store and host list."""
