"""Fixtures of the gateway's tests."""

import pytest


@pytest.fixture(autouse=True)
def patient_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a busy machine take its time to connect to a stand-in."""
    for module in ("adapter.store", "radishtally.direct.pool"):
        monkeypatch.setattr(f"{module}.CONNECT_SECONDS", 30.0)
