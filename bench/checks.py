"""Check answers as a caller can."""

import hashlib


def hash_question(text: str) -> str:
    """Give the SHA-256 hex that a stand-in engine's answer begins with."""
    return hashlib.sha256(text.encode()).hexdigest()
