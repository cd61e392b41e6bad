"""Tests of what becomes of requests at hosts."""
