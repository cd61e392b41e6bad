"""Run a complete fleet on one machine for the demo, the tests and the measurements."""
