"""Tests of radishtally.links."""
