"""Tests of the terms on which requests are served."""

from radishtally.serving.terms import MAX_LOGGED_PARTS, PromptPart, Terms


# Guards against logs in which requests with one part in common can't be told.
def test_shared_parts_are_named_without_the_requests_own() -> None:
    parts = tuple(PromptPart(f"p{n}", 1) for n in range(3))
    assert Terms(parts=parts).describe_shared_parts() == "p0,p1"
    assert Terms().describe_shared_parts() == ""


def test_log_names_a_bounded_number_of_parts() -> None:
    parts = tuple(PromptPart(f"p{n}", 1) for n in range(1_000))
    named = Terms(parts=parts).describe_shared_parts().split(",")
    assert len(named) == MAX_LOGGED_PARTS
