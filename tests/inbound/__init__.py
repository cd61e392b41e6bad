"""Tests of the bounds on what clients send."""
