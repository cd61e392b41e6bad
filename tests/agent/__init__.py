"""Tests of radishtally.limits."""
