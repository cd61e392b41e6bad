"""Test the metrics that a statsd daemon receives."""

import socket

from radishtally.metrics import make_metrics

RECEIVE_SECONDS = 20.0


def test_metrics_are_sent_to_the_daemon() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as daemon:
        daemon.bind(("127.0.0.1", 0))
        daemon.settimeout(RECEIVE_SECONDS)
        ip, port = daemon.getsockname()
        metrics = make_metrics(f"{ip}:{port}", "entry-1")
        metrics.incr("requests")
        metrics.timing("answer", 12.5)
        metrics.gauge("open", 3)
        received = [daemon.recv(1024).decode() for _ in range(3)]
    assert received == [
        "radishtally.entry-1.requests:1|c",
        "radishtally.entry-1.answer:12.500000|ms",
        "radishtally.entry-1.open:3|g",
    ]


def test_missing_daemon_is_no_error() -> None:
    # The port has no listener: metrics are lost, but requests must not fail.
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    metrics = make_metrics(f"127.0.0.1:{port}", "entry-1")
    for _ in range(3):
        metrics.incr("requests")
    make_metrics(None, "entry-1").incr("requests")
