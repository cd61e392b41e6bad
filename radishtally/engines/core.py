"""Interface for components that learn from the work given to engines."""


class Observer:
    """Receive measurements of engine work; ignore them unless overridden."""

    def record_request(
        self, upstream: str, prompt_tokens: int, answer_tokens: int, now: float
    ) -> None:
        """Record the tokens to prefill and the expected answer tokens of a request."""

    def record_pace(
        self, upstream: str, answers: int, events: int, seconds: float
    ) -> None:
        """Record how long new events of an answer took at a number of open answers."""

    def record_answer(
        self, upstream: str, events: int, expected: int, seconds: float, now: float
    ) -> None:
        """Record a complete answer: events, expected tokens and available seconds."""
