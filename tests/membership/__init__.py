"""Tests of radishtally.membership."""
