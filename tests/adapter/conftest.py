"""Fixtures of the adapter's tests."""

import pytest


@pytest.fixture(autouse=True)
def patient_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a busy machine take its time to connect to a stand-in."""
    monkeypatch.setattr("adapter.store.CONNECT_SECONDS", 30.0)
