"""Routing of requests to hosts."""
