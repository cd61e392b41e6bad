"""Contract of what learns from the work that engines are given."""


class Observer:
    """Learn from what engines are given and from how they do it; by itself nothing."""

    def record_request(
        self, upstream: str, prompt_tokens: int, answer_tokens: int, now: float
    ) -> None:
        """Take in tokens that are to be read and those of the answer expected."""

    def record_pace(
        self, upstream: str, answers: int, events: int, seconds: float
    ) -> None:
        """Take in the time of an answer's next events, of some answers at a time."""

    def record_answer(
        self, upstream: str, events: int, expected: int, seconds: float, now: float
    ) -> None:
        """Take in a whole answer: events, tokens expected, seconds that it had."""
