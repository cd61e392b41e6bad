"""Command-line tool with which operators inspect and change the system."""
