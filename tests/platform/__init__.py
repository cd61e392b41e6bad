"""Tests of radishtally.platform."""
