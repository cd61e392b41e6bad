"""Tests of radishtally.planner."""
