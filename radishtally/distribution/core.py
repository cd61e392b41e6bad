"""Hold the configuration in force and give it to peers that are behind."""

import hashlib
from collections.abc import Mapping
from typing import NamedTuple

from radishtally.configuration.config import Configuration
from radishtally.configuration.core import merge_files
from radishtally.links.messages import FilesAsk, FilesGive
from radishtally.outcome import Error, Fault, Ok, Result


class InForce(NamedTuple):
    """Hold one revision of the configuration."""

    revision: int
    files: dict[str, str]
    hashes: dict[str, str]
    configuration: Configuration


class Keeper:
    """Keep the highest revision that was ever seen, and never go back."""

    def __init__(self) -> None:
        self.current: InForce | None = None
        self.peers: dict[str, int] = {}
        """Revision in force at each peer, by its own word."""

    @property
    def revision(self) -> int:
        """Give the revision in force, 0 for none."""
        return self.current.revision if self.current else 0

    def note_peer(self, host: str, revision: int) -> FilesAsk | None:
        """Take a peer's word on its revision; ask for the files if we are behind."""
        self.peers[host] = revision
        if revision <= self.revision:
            return None
        return FilesAsk(self.revision, self.current.hashes if self.current else {})

    def forget_peer(self, host: str) -> None:
        """Forget a peer that is gone."""
        self.peers.pop(host, None)

    def answer(self, ask: FilesAsk) -> FilesGive | None:
        """Give a peer the files that it lacks, if it is behind us."""
        if self.current is None or ask.revision >= self.revision:
            return None
        have = ask.hashes
        files = {
            name: text
            for name, text in self.current.files.items()
            if have.get(name) != self.current.hashes[name]
        }
        return FilesGive(self.revision, self.current.hashes, files)

    def take(self, given: FilesGive) -> Result[bool, Fault]:
        """Bring a newer revision into force; tell whether it was newer."""
        if given.revision <= self.revision:
            return Ok(False)
        have = self.current.files if self.current else {}
        files = {}
        for name, digest in given.hashes.items():
            text = given.files.get(name, have.get(name))
            # A file that does not hash to its name was cut or mixed up on its way. It
            # must not come into force: the peers would then disagree for good.
            if text is None or hash_text(text) != digest:
                return Error(Fault("file is missing or differs from its hash", name))
            files[name] = text
        merged = merge_files(files)
        if merged.is_error():
            return merged
        hashes = dict(given.hashes)
        self.current = InForce(given.revision, files, hashes, merged.ok)
        return Ok(True)

    def find_behind(self, revision: int) -> list[str]:
        """Find the peers that have not confirmed a revision."""
        return sorted(h for h, known in self.peers.items() if known < revision)


def hash_text(text: str) -> str:
    """Give the SHA-256 hex that a file is stored under."""
    return hashlib.sha256(text.encode()).hexdigest()


def hash_files(files: Mapping[str, str]) -> dict[str, str]:
    """Hash every file."""
    return {name: hash_text(text) for name, text in files.items()}
