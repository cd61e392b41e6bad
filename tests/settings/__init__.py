"""Tests of radishtally.settings."""
