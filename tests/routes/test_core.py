"""Tests of matching routes and choosing upstreams."""

import pytest

from radishtally.routes.core import (
    Route,
    RouteKind,
    RouteTable,
    Split,
    choose_upstream,
)


def make_route(name: str, prefix: str, *splits: Split, **more: object) -> Route:
    return Route(
        name,
        "desk.example",
        prefix,
        more.get("kind", RouteKind.SAFE),
        splits or (Split("desk", 1.0),),
        1.0,
        0.5,
        0,
        1,
        more.get("is_resumable", False),
    )


TABLE = RouteTable(
    [make_route("all", "/"), make_route("a", "/a/"), make_route("ab", "/a/b/")]
)


@pytest.mark.parametrize(
    ("authority", "path", "name"),
    [
        ("desk.example", "/a/b/c", "ab"),
        ("desk.example", "/a/b", "a"),
        ("desk.example", "/a", "all"),
        ("desk.example", "/ab/c", "all"),
        ("DESK.example:8080", "/a/x", "a"),
        ("other.example", "/a/x", None),
        ("desk.example", "*", None),
    ],
)
def test_longest_prefix_is_found(authority: str, path: str, name: str | None) -> None:
    route = TABLE.find(authority, path)
    assert (route.name if route else None) == name


def test_split_follows_its_weights_and_is_stable_per_request() -> None:
    route = make_route("r", "/", Split("old", 90.0), Split("new", 10.0))
    chosen = [choose_upstream(route, f"r{number}") for number in range(2_000)]
    assert 120 < chosen.count("new") < 280
    assert chosen == [choose_upstream(route, f"r{number}") for number in range(2_000)]


@pytest.mark.parametrize(
    ("kind", "is_resumable", "is_idempotent"),
    [
        (RouteKind.SAFE, False, True),
        (RouteKind.UNSAFE, False, False),
        (RouteKind.STREAM, False, False),
        (RouteKind.STREAM, True, True),
    ],
)
def test_idempotency_by_kind_of_route(
    kind: RouteKind, is_resumable: bool, is_idempotent: bool
) -> None:
    route = make_route("r", "/", kind=kind, is_resumable=is_resumable)
    assert route.is_idempotent == is_idempotent
