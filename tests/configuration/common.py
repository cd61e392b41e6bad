"""Small configurations shared by the tests."""

import json
from typing import Any, Final

BASE: Final = """// Two places, a pool, a service and a team.
{
  "deployment": "test",
  "places": {"howrah": {"region": "kolkata"}, "new-town": {"region": "kolkata"}},
  "models": {"gown": {"version": "1", "adapters": ["tag"]}},
  "upstreams": {
    "gown-llm": {
      "kind": "engine",
      "model": "gown",
      "servers": {"gown-1": {"place": "howrah"}},
    },
    "booking": {
      "kind": "service",
      "servers": {"booking-1": {"place": "new-town"}},
      "routes": [{"path": "/slots", "methods": ["GET"], "idempotent": true}],
    },
  },
}
"""
DIGEST: Final = "0" * 64


def build_team(number: int, **more: Any) -> dict[str, Any]:
    """Build a team with a key derived from its number."""
    return {"key_sha256": [f"{number:064x}"], **more}


def write_teams(**teams: Any) -> str:
    """Return the text of a file that sets teams."""
    return json.dumps({"teams": teams})
