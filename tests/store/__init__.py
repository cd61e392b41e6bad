"""Tests of radishtally.store."""
