"""Authentication of links by a shared key."""

import hashlib
import hmac
from collections.abc import Mapping

from radishtally.links.const import ATTR_HOST, ATTR_INCARNATION, ATTR_TOKEN


def make_token(peer_key: str, host: str, incarnation: str) -> str:
    """Sign the sender's host and incarnation with the shared key."""
    name = f"{host}|{incarnation}".encode()
    return hmac.new(peer_key.encode(), name, hashlib.sha256).hexdigest()


def make_metadata(peer_key: str, host: str, incarnation: str) -> dict[str, str]:
    """Return the request metadata that opens a link."""
    return {
        ATTR_HOST: host,
        ATTR_INCARNATION: incarnation,
        ATTR_TOKEN: make_token(peer_key, host, incarnation),
    }


def has_valid_token(peer_key: str, metadata: Mapping[str, object]) -> bool:
    """Return whether the metadata is signed with the shared key."""
    host = str(metadata.get(ATTR_HOST, ""))
    incarnation = str(metadata.get(ATTR_INCARNATION, ""))
    token = str(metadata.get(ATTR_TOKEN, ""))
    expected = make_token(peer_key, host, incarnation)
    # Texts with other characters than ASCII can't be compared.
    return hmac.compare_digest(token.encode(), expected.encode())
