"""Small in-memory stand-ins for the platform, for tests."""
