"""Track the configuration in force and send it to peers that lag behind."""

import hashlib
from collections.abc import Mapping
from typing import Final, NamedTuple

from radishtally.configuration.config import Configuration
from radishtally.configuration.merger import Merger
from radishtally.links.messages import ConfigurationFiles, ConfigurationRequest
from radishtally.outcome import Error, Fault, Ok, Result

REPLY_TIMEOUT_SECONDS: Final = 1.0
"""Time after which the files are requested from another peer."""


class ConfigurationInForce(NamedTuple):
    """Hold a revision of the configuration: its files, their hashes and the result."""

    revision: int
    files: dict[str, str]
    hashes: dict[str, str]
    configuration: Configuration


class FileRequest(NamedTuple):
    """Record which peer the files of a revision were requested from, and when."""

    host: str
    revision: int
    at: float

    def covers(self, host: str, revision: int, now: float) -> bool:
        """Return whether this pending request makes one to another peer redundant."""
        if host == self.host or revision > self.revision:
            return False
        return now - self.at < REPLY_TIMEOUT_SECONDS


class ConfigurationReplica:
    """Hold this process's copy of the configuration; its revision never decreases."""

    def __init__(self) -> None:
        self.current: ConfigurationInForce | None = None
        self.peer_revisions: dict[str, int] = {}
        """Revision in force at each peer, as last reported by the peer."""
        self.merge = Merger().merge
        self._pending_request: FileRequest | None = None

    @property
    def revision(self) -> int:
        """Return the revision in force, 0 for none."""
        return self.current.revision if self.current else 0

    def record_peer_revision(
        self, host: str, revision: int, now: float = 0.0
    ) -> ConfigurationRequest | None:
        """Record a peer's revision; return a request to send it if it is newer."""
        self.peer_revisions[host] = revision
        if revision <= self.revision:
            return None
        # All peers report a new revision at nearly the same time, and each peer that
        # is asked sends the files. So only one is asked, and another one if that
        # one does not reply in time.
        request = self._pending_request
        if request is not None and request.covers(host, revision, now):
            return None
        self._pending_request = FileRequest(host, revision, now)
        return ConfigurationRequest(
            self.revision, self.current.hashes if self.current else {}
        )

    def forget_peer(self, host: str) -> None:
        """Remove a peer that has left, and the pending request to it."""
        self.peer_revisions.pop(host, None)
        if self._pending_request is not None and self._pending_request.host == host:
            self._pending_request = None

    def build_reply(self, request: ConfigurationRequest) -> ConfigurationFiles | None:
        """Build the reply with the files that a peer lacks; None if not behind."""
        if self.current is None or request.revision >= self.revision:
            return None
        known = request.hashes
        files = {
            name: text
            for name, text in self.current.files.items()
            if known.get(name) != self.current.hashes[name]
        }
        return ConfigurationFiles(self.revision, self.current.hashes, files)

    def adopt(self, received: ConfigurationFiles) -> Result[bool, Fault]:
        """Bring a revision into force if it is newer; return whether it was."""
        if received.revision <= self.revision:
            return Ok(False)
        known = self.current.files if self.current else {}
        files = {}
        for name, digest in received.hashes.items():
            text = received.files.get(name, known.get(name))
            # A file that differs from its hash was truncated or mixed up in transit. If
            # it came into force, peers with equal revisions would diverge permanently.
            if text is None or hash_text(text) != digest:
                return Error(Fault("file is missing or differs from its hash", name))
            files[name] = text
        merged = self.merge(files)
        if merged.is_error():
            return merged
        hashes = dict(received.hashes)
        self.current = ConfigurationInForce(received.revision, files, hashes, merged.ok)
        return Ok(True)

    def list_lagging_peers(self, revision: int) -> list[str]:
        """List the peers that have not reported a revision or a later one."""
        return sorted(
            h for h, confirmed in self.peer_revisions.items() if confirmed < revision
        )


def hash_text(text: str) -> str:
    """Return the SHA-256 hex digest under which a file is stored."""
    return hashlib.sha256(text.encode()).hexdigest()


def hash_files(files: Mapping[str, str]) -> dict[str, str]:
    """Return the hash of each file by its name."""
    return {name: hash_text(text) for name, text in files.items()}
