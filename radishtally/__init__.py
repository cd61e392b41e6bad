"""Serve language models from a fixed fleet under a shifting token mix."""
