"""Name the commands of `radishtally` and what each one takes."""

import os
from collections.abc import Callable, Sequence

from fire.decorators import SetParseFns

from radishtally.command import apply, configuration, const, fetch, fleet
from radishtally.command.answer import Answer, Failure
from radishtally.command.checks import (
    check_base,
    check_cause,
    check_limit,
    check_name,
    check_switch,
    check_wait,
)
from radishtally.command.client import Client, read_target
from radishtally.outcome import Error, Result

Run = Callable[[], Result[Answer, Failure]]
Ask = Callable[[Client], Result[Answer, Failure]]


class Command:
    """Hold a command until the whole line is known to be good."""

    # Failure: the library calls a function before it looks at the words that follow.
    # Symptom: a line with a typing error at its end is carried out and only then
    # refused. So functions give this, it has no parts to be named, and it runs last.
    __slots__ = ("as_json", "run")

    def __init__(self, run: Run, as_json: object) -> None:
        self.run = run
        self.as_json = as_json

    def __dir__(self) -> list[str]:
        """Hide everything from the library."""
        return []


@SetParseFns(url=str, key=str)
class Tool:
    """Drive a radishtally system.

    Asks the entry at --url (or the variable RADISHTALLY_URL; several addresses are
    separated by commas, the next is asked if one can't be reached) with the
    operator's key in --key (or RADISHTALLY_KEY, which keeps it out of the list of
    processes). With --json prints JSON, else lines and tables. These three go with
    every command.

    Exit codes: 0 fine, 1 other fault, 2 usage, 3 configuration refused, 4 raced with
    another operator, 5 entry or store away, 6 not confirmed everywhere in time, 7 not
    found, 8 key refused.
    """

    def __init__(self, url: str = "", key: str = "", json: bool = False) -> None:
        self._url = url or os.environ.get(const.URL_VARIABLE, "")
        self._key = key or os.environ.get(const.KEY_VARIABLE, "")
        self._json = json
        self.config = ConfigCommands(self)
        self.host = HostCommands(self)
        self.explain = ExplainCommands(self)

    def status(self) -> Command:
        """Show the fleet as one entry sees it."""
        return self._ask(fleet.read_status)

    @SetParseFns(subject=str)
    def audit(self, subject: str | None = None, limit: int = 20) -> Command:
        """List the latest changes: when, who, what and why.

        Parameters
        ----------
        subject : str
            Only changes of this: a host, a place, or `configuration`.
        limit : int
            Number of changes, the newest first.
        """
        return self._ask(
            lambda client: fleet.read_audit(client, subject, limit), check_limit(limit)
        )

    def _ask(self, ask: Ask, *faults: str | None) -> Command:
        return Command(lambda: self._run(ask, faults), self._json)

    def _run(self, ask: Ask, faults: Sequence[str | None]) -> Result[Answer, Failure]:
        fault = next((fault for fault in faults if fault), None)
        if fault is not None:
            return Error(Failure(const.EXIT_USAGE, fault))
        target = read_target(self._url, self._key)
        return target.bind(lambda found: ask(Client(found)))


class ConfigCommands:
    """Check, compare, change and show the configuration folder."""

    def __init__(self, tool: Tool) -> None:
        self._tool = tool

    @SetParseFns(folder=str)
    def check(self, folder: str) -> Command:
        """Check a folder offline.

        Parameters
        ----------
        folder : str
            Folder of files in JSON with comments, merged in the order of their names.
        """
        return Command(lambda: configuration.check(folder), self._tool._json)

    @SetParseFns(folder=str)
    def diff(
        self, folder: str, base: int | None = None, remove: bool = False
    ) -> Command:
        """Show what `config apply` would change; changes nothing.

        Parameters
        ----------
        folder : str
            Folder to compare with the configuration in force.
        base : int
            Revision that the edits were made on, as for `config apply`.
        remove : bool
            Count files that the folder lacks as removed.
        """
        return self._tool._ask(
            lambda client: configuration.diff(client, folder, base, remove),
            check_base(base),
            check_switch("--remove", remove),
        )

    @SetParseFns(folder=str, cause=str)
    def apply(
        self,
        folder: str,
        *,
        cause: str,
        wait: float | None = None,
        base: int | None = None,
        remove: bool = False,
    ) -> Command:
        """Put a folder's changes in force.

        Sends only the files that were changed, added or removed since the folder was
        fetched with `config show --into` or last applied. Changes of other operators
        to other files stay in force. If another operator changed the same file, nothing
        is changed and the exit code is 4.

        Parameters
        ----------
        folder : str
            Folder whose changes are to come into force.
        cause : str
            Reason of the change, for the history and the audit trail.
        wait : float
            Seconds to wait until every host confirms; exit code 6 if some did not.
        base : int
            Revision that the edits were made on: you say that you have seen it. Needed
            where the folder's own record is missing or was overtaken.
        remove : bool
            Remove files that the folder lacks. Not needed for files that you deleted
            from a folder that was fetched or applied before.
        """
        return self._tool._ask(
            lambda client: apply.apply(
                client, folder, cause, base=base, remove=remove, wait=wait
            ),
            check_cause(cause),
            check_wait(wait),
            check_base(base),
            check_switch("--remove", remove),
        )

    @SetParseFns(into=str)
    def show(self, into: str | None = None) -> Command:
        """Show the configuration in force, or fetch it into a folder.

        Parameters
        ----------
        into : str
            Folder to bring to the configuration in force. Your own edits in it stay;
            its record of what they are based on is kept in .radishtally-base.json.
        """
        if into is None:
            return self._tool._ask(configuration.show)
        return self._tool._ask(lambda client: fetch.fetch(client, into))

    def history(self, limit: int = 20) -> Command:
        """List the latest revisions: when, who, why and which files.

        Parameters
        ----------
        limit : int
            Number of revisions, the newest first.
        """
        return self._tool._ask(
            lambda client: configuration.history(client, limit), check_limit(limit)
        )


class HostCommands:
    """Take hosts out of use and back."""

    def __init__(self, tool: Tool) -> None:
        self._tool = tool

    @SetParseFns(host=str, cause=str)
    def drain(self, host: str, *, cause: str) -> Command:
        """Give a host no new work; running answers are finished or handed over.

        Parameters
        ----------
        host : str
            Name of the host.
        cause : str
            Reason, for the audit trail.
        """
        return self._drain(host, True, cause)

    @SetParseFns(host=str, cause=str)
    def undrain(self, host: str, *, cause: str) -> Command:
        """Take a drain back.

        Parameters
        ----------
        host : str
            Name of the host.
        cause : str
            Reason, for the audit trail.
        """
        return self._drain(host, False, cause)

    def _drain(self, host: str, drained: bool, cause: str) -> Command:
        return self._tool._ask(
            lambda client: fleet.drain(client, host, drained, cause),
            check_cause(cause),
            check_name("host", host),
        )


class ExplainCommands:
    """Tell why the system did what it did."""

    def __init__(self, tool: Tool) -> None:
        self._tool = tool

    @SetParseFns(id=str)
    def request(self, id: str) -> Command:
        """List the steps of a request.

        Entries remember the requests they took, so name all of them in --url.

        Parameters
        ----------
        id : str
            Id from the answer's X-Request-Id header.
        """
        return self._tool._ask(
            lambda client: fleet.explain_request(client, id), check_name("id", id)
        )

    @SetParseFns(name=str)
    def host(self, name: str) -> Command:
        """Tell whether a host gets work, and why not.

        Parameters
        ----------
        name : str
            Name of the host.
        """
        return self._explain("host", name)

    @SetParseFns(name=str)
    def place(self, name: str) -> Command:
        """Tell the plan of a place and what it is based on.

        Parameters
        ----------
        name : str
            Name of the place.
        """
        return self._explain("place", name)

    def _explain(self, kind: str, name: str) -> Command:
        return self._tool._ask(
            lambda client: fleet.explain(client, kind, name), check_name("name", name)
        )
