"""Contracts of the stores that the product keeps its state in, and their clients."""
