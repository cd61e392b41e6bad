"""Tests of radishtally."""
