"""Define the commands of `radishtally` and their parameters."""

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

Runner = Callable[[], Result[Answer, Failure]]
Operation = Callable[[Client], Result[Answer, Failure]]


class Command:
    """Defer a command until the whole command line has been parsed."""

    # Fire calls a function before it parses the words that follow, so a line with a
    # typing error at its end would be executed before it is refused. Therefore the
    # functions return a Command, which runs after parsing. It shows no attributes, as
    # Fire would take them as subcommands.
    __slots__ = ("as_json", "run")

    def __init__(self, run: Runner, as_json: object) -> None:
        self.run = run
        self.as_json = as_json

    def __dir__(self) -> list[str]:
        """Hide all attributes from Fire."""
        return []


@SetParseFns(url=str, key=str)
class Tool:
    """Operate a radishtally system.

    Three flags work with every command. --url (or the variable RADISHTALLY_URL) sets
    the address of an entry; separate several addresses by commas, and the next one is
    tried if one can't be reached. --key (or RADISHTALLY_KEY, which keeps the key out
    of the process list) sets the operator's key. --json prints JSON instead of text.

    Exit codes: 0 success, 1 other error, 2 usage error, 3 configuration refused, 4
    conflict with another operator, 5 entry or store unavailable, 6 not confirmed by
    all hosts in time, 7 not found, 8 key refused.
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
        return self._make_command(fleet.read_status)

    @SetParseFns(subject=str)
    def audit(self, subject: str | None = None, limit: int = 20) -> Command:
        """List the most recent changes: when, who, what and why.

        Parameters
        ----------
        subject : str
            List only changes of this subject: a host, a place, or `configuration`.
        limit : int
            Maximum number of changes, newest first.
        """
        return self._make_command(
            lambda client: fleet.read_audit(client, subject, limit), check_limit(limit)
        )

    def _make_command(self, operation: Operation, *usage_errors: str | None) -> Command:
        return Command(lambda: self._run(operation, usage_errors), self._json)

    def _run(
        self, operation: Operation, usage_errors: Sequence[str | None]
    ) -> Result[Answer, Failure]:
        usage_error = next(
            (usage_error for usage_error in usage_errors if usage_error), None
        )
        if usage_error is not None:
            return Error(Failure(const.EXIT_USAGE, usage_error))
        target = read_target(self._url, self._key)
        return target.bind(lambda checked: operation(Client(checked)))


class ConfigCommands:
    """Check, compare, apply and show the configuration."""

    def __init__(self, tool: Tool) -> None:
        self._tool = tool

    @SetParseFns(folder=str)
    def check(self, folder: str) -> Command:
        """Check a folder without contacting an entry.

        Parameters
        ----------
        folder : str
            Folder of JSON files, with comments allowed, merged in order of their names.
        """
        return Command(lambda: configuration.check(folder), self._tool._json)

    @SetParseFns(folder=str)
    def diff(
        self, folder: str, base: int | None = None, remove: bool = False
    ) -> Command:
        """Show what `config apply` would change, without changing it.

        Parameters
        ----------
        folder : str
            Folder to compare with the configuration in force.
        base : int
            Revision that the edits are based on, as for `config apply`.
        remove : bool
            Treat files that are missing from the folder as removed.
        """
        return self._tool._make_command(
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
        fetched with `config show --into` or last applied. Other operators' changes to
        other files stay in force. If another operator changed the same file, nothing
        is changed and the exit code is 4.

        Parameters
        ----------
        folder : str
            Folder whose changes to apply.
        cause : str
            Reason for the change, for the history and the audit trail.
        wait : float
            Seconds to wait until all hosts confirm; exit code 6 if some did not.
        base : int
            Revision that the edits are based on; confirms that you have seen it. Needed
            if the folder's own record of its base is missing or out of date.
        remove : bool
            Remove files that are missing from the folder. Not needed for files that
            you deleted after the folder was fetched or applied.
        """
        return self._tool._make_command(
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
            Folder to update to the configuration in force. Your own edits are kept; the
            record of what they are based on is stored in .radishtally-base.json.
        """
        if into is None:
            return self._tool._make_command(configuration.show)
        return self._tool._make_command(lambda client: fetch.fetch(client, into))

    def history(self, limit: int = 20) -> Command:
        """List the most recent revisions: when, who, why and which files.

        Parameters
        ----------
        limit : int
            Maximum number of revisions, newest first.
        """
        return self._tool._make_command(
            lambda client: configuration.history(client, limit), check_limit(limit)
        )


class HostCommands:
    """Drain hosts and end drains."""

    def __init__(self, tool: Tool) -> None:
        self._tool = tool

    @SetParseFns(host=str, cause=str)
    def drain(self, host: str, *, cause: str) -> Command:
        """Stop new work for a host; running answers are finished or handed over.

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
        """End the drain of a host.

        Parameters
        ----------
        host : str
            Name of the host.
        cause : str
            Reason, for the audit trail.
        """
        return self._drain(host, False, cause)

    def _drain(self, host: str, drained: bool, cause: str) -> Command:
        return self._tool._make_command(
            lambda client: fleet.drain(client, host, drained, cause),
            check_cause(cause),
            check_name("host", host),
        )


class ExplainCommands:
    """Explain requests and the state of hosts and places."""

    def __init__(self, tool: Tool) -> None:
        self._tool = tool

    @SetParseFns(id=str)
    def request(self, id: str) -> Command:
        """List the steps of a request.

        Each entry only remembers its own requests, so list all entries in --url.

        Parameters
        ----------
        id : str
            Request id from the X-Request-Id header of the response.
        """
        return self._tool._make_command(
            lambda client: fleet.explain_request(client, id), check_name("id", id)
        )

    @SetParseFns(name=str)
    def host(self, name: str) -> Command:
        """Show whether a host gets work, and if not, why.

        Parameters
        ----------
        name : str
            Name of the host.
        """
        return self._explain("host", name)

    @SetParseFns(name=str)
    def place(self, name: str) -> Command:
        """Show the plan of a place and what it is based on.

        Parameters
        ----------
        name : str
            Name of the place.
        """
        return self._explain("place", name)

    def _explain(self, kind: str, name: str) -> Command:
        return self._tool._make_command(
            lambda client: fleet.explain(client, kind, name), check_name("name", name)
        )
