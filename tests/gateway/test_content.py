"""What requests are known by when they come again."""

import pytest

from radishtally.gateway.requests import hash_content

ASKED = ("POST", "desk.example", "/draft/a?x=1", b"prompt")


def test_repeat_has_the_content_of_the_first() -> None:
    assert hash_content(*ASKED) == hash_content(*ASKED)


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
def test_other_request_has_another_content(other: tuple[str, str, str, bytes]) -> None:
    assert hash_content(*other) != hash_content(*ASKED)


# A path with bytes that are no text is answered 500 by the HTTP library, and its caller
# learns nothing.
def test_path_that_is_no_text_has_a_content() -> None:
    target = b"/draft/\xff".decode(errors="surrogateescape")
    other = b"/draft/\xfe".decode(errors="surrogateescape")
    hashes = [
        hash_content("GET", "desk.example", path, b"") for path in (target, other)
    ]
    assert hashes[0] != hashes[1]
