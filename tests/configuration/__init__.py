"""Tests of radishtally.configuration."""
