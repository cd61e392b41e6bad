"""Tests of the measurement tools."""
