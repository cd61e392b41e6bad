"""Check answers with what a caller knows."""

import hashlib


def hash_question(text: str) -> str:
    """Return the SHA-256 in hex that a stand-in engine's answer begins with."""
    return hashlib.sha256(text.encode()).hexdigest()
