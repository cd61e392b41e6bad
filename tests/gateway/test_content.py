"""Tests of the content hash by which repeated requests are recognized."""

import pytest

from radishtally.gateway.requests import hash_content

REQUEST = ("POST", "desk.example", "/draft/a?x=1", b"prompt")


def test_equal_requests_have_equal_hashes() -> None:
    assert hash_content(*REQUEST) == hash_content(*REQUEST)


@pytest.mark.parametrize(
    "other",
    [
        ("PUT", "desk.example", "/draft/a?x=1", b"prompt"),
        ("POST", "desk.exampl", "e/draft/a?x=1", b"prompt"),
        ("POST", "desk.example", "/draft/a?x=2", b"prompt"),
        ("POST", "desk.example", "/draft/a?x=1", b"prompt."),
        ("POST", "desk.example", "/draft/a?x=", b"1prompt"),
        ("POST", "desk.example\0/draft/a?x=1", "", b"prompt"),
    ],
)
def test_different_requests_have_different_hashes(
    other: tuple[str, str, str, bytes],
) -> None:
    assert hash_content(*other) != hash_content(*REQUEST)


# Guards against a bare 500 from the HTTP library for a path that is not valid UTF-8.
def test_path_that_is_not_utf8_can_be_hashed() -> None:
    target = b"/draft/\xff".decode(errors="surrogateescape")
    other = b"/draft/\xfe".decode(errors="surrogateescape")
    hashes = [
        hash_content("GET", "desk.example", path, b"") for path in (target, other)
    ]
    assert hashes[0] != hashes[1]
