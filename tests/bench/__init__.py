"""Tests of the measurement."""
