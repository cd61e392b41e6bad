"""Fixtures for the gateway's tests."""

import pytest


@pytest.fixture(autouse=True)
def longer_connect_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Raise connect timeouts, as connecting to a stand-in is slow on a busy machine."""
    for module in ("adapter.store", "radishtally.direct.pool"):
        monkeypatch.setattr(f"{module}.CONNECT_SECONDS", 30.0)
