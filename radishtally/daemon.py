"""Entry point of an agent or entry process: `radishtallyd --settings FILE`."""

# Nothing of a running entry or agent can be reloaded, and the default action of SIGHUP
# would end the process, during the imports too.
import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)

# ruff: noqa: E402
import asyncio
import sys

import fire
import uvloop

from radishtally.logs import start_logging
from radishtally.settings.config import Settings
from radishtally.settings.core import read_settings
from radishtally.startup import wait_for_settings

EXIT_SETTINGS = 2
EXIT_ADDRESS = 3


async def serve(path: str) -> None:
    """Wait for the settings and run until a graceful stop."""
    outcome = await wait_for_settings(lambda: read_settings(path))
    if outcome.is_error():
        print(f"radishtallyd: {outcome.error}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    logs = start_logging(outcome.ok.host)
    await logs.run_with_flushing(_make_daemon(outcome.ok).run())


def run(path: str) -> None:
    """Run until a graceful stop; exit with a code that identifies the error."""
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(path))
    except OSError as error:
        print(f"radishtallyd: {error}", file=sys.stderr)
        sys.exit(EXIT_ADDRESS)


def _make_daemon(settings: Settings):  # noqa: ANN202
    # Agents must use little memory, so only entries import the entry's libraries.
    if settings.role == "agent":
        from radishtally.agent.daemon import AgentDaemon

        return AgentDaemon(settings)
    from radishtally.entry.daemon import EntryDaemon

    return EntryDaemon(settings)


def main() -> None:
    """Parse the command line and run the daemon."""
    paths: list[str] = []

    def radishtallyd(settings: str) -> None:
        """Run the daemon described in a settings file.

        Parameters
        ----------
        settings : str
            Path of a file in JSON with comments.
        """
        paths.append(str(settings))

    # fire calls a function before it checks the words after its arguments. The daemon
    # starts only once the whole command line has been parsed.
    fire.Fire(radishtallyd, name="radishtallyd")
    if paths:
        run(paths[-1])


if __name__ == "__main__":
    main()
