"""Fixtures of the adapter's tests."""

import pytest


@pytest.fixture(autouse=True)
def long_connect_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """Allow slow connections to stand-ins, as the machine may be busy."""
    monkeypatch.setattr("adapter.store.CONNECT_SECONDS", 30.0)
