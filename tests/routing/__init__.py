"""Tests of radishtally.routing."""
