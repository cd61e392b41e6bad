"""Test how a configuration reaches every process."""
