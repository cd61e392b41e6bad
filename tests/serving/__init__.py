"""Tests of request dispatch."""
