"""Provide small in-memory stand-ins for systems of the platform, for tests."""
