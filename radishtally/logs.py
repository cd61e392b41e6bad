"""Write logs as JSON lines by eliot."""

import sys

import eliot


def start_logging(host: str) -> None:
    """Send eliot's messages to standard output, each with the host's name."""
    eliot.add_global_fields(host=host)
    eliot.to_file(sys.stdout)
