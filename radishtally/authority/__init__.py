"""Decide who may give orders, and which orders an agent carries out."""
