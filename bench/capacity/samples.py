"""Configuration folders of any size."""

import hashlib
import json
from typing import Final

TEAMS: Final = 27_000
TEAM_FILES: Final = 270
POOLS: Final = 34
HOSTS: Final = 1_400
PLACES: Final = 8
OPERATOR_KEY: Final = "capacity-operator-key"


def hash_name(name: str) -> str:
    """Make a key's hash."""
    return hashlib.sha256(name.encode()).hexdigest()


def make_folder(teams: int, team_files: int, pools: int, hosts: int) -> dict[str, str]:
    """Make the files of a folder: teams spread over files, one more file a pool."""
    files = {"10-places.json": make_places(pools)}
    for pool in range(pools):
        files[f"30-pool-{pool:03}.json"] = make_pool(pool, pools, hosts)
    for number in range(team_files):
        files[f"40-teams-{number:03}.json"] = make_teams(number, teams, team_files)
    return files


def make_full_size_folder() -> dict[str, str]:
    """Make a folder of the letter's size: 27,000 teams in 277 files with the rest."""
    files = make_folder(TEAMS, TEAM_FILES, POOLS, HOSTS)
    pools = [name for name in files if name.startswith("30-")]
    # Six files hold the 34 pools, so that there are 277 with the places and operators.
    merged: dict[str, dict[str, object]] = {}
    for number, name in enumerate(pools):
        part = merged.setdefault(f"30-pools-{number % 6}.json", {"upstreams": {}})
        part["upstreams"].update(json.loads(files.pop(name))["upstreams"])
    return files | {name: json.dumps(part, indent=1) for name, part in merged.items()}


def make_places(pools: int) -> str:
    """Make the file of the places, models and operators."""
    content = {
        "deployment": "capacity",
        "places": {
            f"place-{n}": {"region": f"region-{n * 2 // PLACES}"} for n in range(PLACES)
        },
        "models": {f"model-{n}": {"version": "1"} for n in range(pools)},
        "operators": {"operator": {"key_sha256": [hash_name(OPERATOR_KEY)]}},
        "policy": {"deadline_seconds": 60},
    }
    return json.dumps(content, indent=1)


def make_pool(pool: int, pools: int, hosts: int) -> str:
    """Make the file of one pool of engines."""
    servers = {
        f"host-{n}": {"place": f"place-{n % PLACES}"}
        for n in range(hosts)
        if n % pools == pool
    }
    content = {"kind": "engine", "model": f"model-{pool}", "servers": servers}
    return json.dumps({"upstreams": {f"pool-{pool}": content}}, indent=1)


def make_teams(number: int, teams: int, files: int) -> str:
    """Make one file of teams."""
    content = {
        f"team-{n:05}": {
            "key_sha256": [hash_name(f"key-{n}")],
            "share": 1 + n % 3,
            "priority": "normal",
            "upstreams": ["pool-0"] if n % 2 else [],
        }
        for n in range(teams)
        if n % files == number
    }
    return json.dumps({"teams": content}, indent=1)
