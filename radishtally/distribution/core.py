"""Hold the configuration in force and give it to peers that are behind."""

import hashlib
from collections.abc import Mapping
from typing import Final, NamedTuple

from radishtally.configuration.config import Configuration
from radishtally.configuration.merger import Merger
from radishtally.links.messages import ConfigurationFiles, ConfigurationRequest
from radishtally.outcome import Error, Fault, Ok, Result

ASK_SECONDS: Final = 1.0
"""Time that a peer gets to give its files before another one is asked."""


class InForce(NamedTuple):
    """Hold one revision of the configuration."""

    revision: int
    files: dict[str, str]
    hashes: dict[str, str]
    configuration: Configuration


class Asked(NamedTuple):
    """Hold which peer was asked for the files of a revision, and when."""

    host: str
    revision: int
    at: float

    def covers(self, host: str, revision: int, now: float) -> bool:
        """Tell whether this makes it needless to ask a peer."""
        if host == self.host or revision > self.revision:
            return False
        return now - self.at < ASK_SECONDS


class Keeper:
    """Keep the highest revision that was ever seen, and never go back."""

    def __init__(self) -> None:
        self.current: InForce | None = None
        self.peers: dict[str, int] = {}
        """Revision in force at each peer, by its own word."""
        self.merge = Merger().merge
        self._asked: Asked | None = None

    @property
    def revision(self) -> int:
        """Give the revision in force, 0 for none."""
        return self.current.revision if self.current else 0

    def note_peer(
        self, host: str, revision: int, now: float = 0.0
    ) -> ConfigurationRequest | None:
        """Take a peer's word on its revision; ask for the files if we are behind."""
        self.peers[host] = revision
        if revision <= self.revision:
            return None
        # All peers tell of a new revision within moments. Asked one and all, each
        # would send the files. One is asked, and another one if it does not answer.
        asked = self._asked
        if asked is not None and asked.covers(host, revision, now):
            return None
        self._asked = Asked(host, revision, now)
        return ConfigurationRequest(
            self.revision, self.current.hashes if self.current else {}
        )

    def forget_peer(self, host: str) -> None:
        """Forget a peer that is gone."""
        self.peers.pop(host, None)
        if self._asked is not None and self._asked.host == host:
            self._asked = None

    def answer(self, ask: ConfigurationRequest) -> ConfigurationFiles | None:
        """Give a peer the files that it lacks, if it is behind us."""
        if self.current is None or ask.revision >= self.revision:
            return None
        have = ask.hashes
        files = {
            name: text
            for name, text in self.current.files.items()
            if have.get(name) != self.current.hashes[name]
        }
        return ConfigurationFiles(self.revision, self.current.hashes, files)

    def take(self, given: ConfigurationFiles) -> Result[bool, Fault]:
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
        merged = self.merge(files)
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
