"""Tests of real processes under clients that don't keep to the limits."""
