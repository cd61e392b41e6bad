"""Interfaces and clients of the platform's services that store the product's state."""
