"""Bring every configuration that was accepted into force in every process."""
