"""Test the system with real processes behind a fault-injecting proxy."""
