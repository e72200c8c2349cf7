"""The command ``gooseberryyoked``."""

from pathlib import Path
from random import SystemRandom
from signal import SIGINT, SIGTERM
from sys import exit as exit_with

from click import Path as PathType, command, echo, option
from returns.result import Failure
from trio import open_nursery, open_signal_receiver, run

from gooseberryyoke_daemon.clock import Clock
from gooseberryyoke_daemon.compose import Daemon, load_credentials
from gooseberryyoke_daemon.logs import configure_logs, log_event
from gooseberryyoke_daemon.security import Networks
from gooseberryyoke_daemon.settings import load_settings

__all__ = ["main"]

EXIT_SETTINGS = 2


@command(
    epilog="Exit codes: 0 stopped as asked or settings right, 2 settings wrong, "
    "1 anything else."
)
@option(
    "--settings",
    "path",
    type=PathType(exists=True, dir_okay=False, path_type=Path),
    required=True,
    help="YAML file with the settings of the process.",
)
@option("--check", is_flag=True, help="Check the settings and stop.")
def main(path, check):
    """Run the roles that the settings give: entry, agent, replica."""
    loaded = load_settings(path)
    credentials = loaded.bind(load_credentials)
    if isinstance(credentials, Failure):
        for mistake in credentials.failure():
            echo(f"{path}: {mistake}", err=True)
        exit_with(EXIT_SETTINGS)
    if check:
        echo(f"{path}: right")
        return
    settings = loaded.unwrap()
    configure_logs(settings.log_level, process=settings.name)
    networks = Networks.over_tcp(credentials.unwrap().tls)
    daemon = Daemon(settings, credentials.unwrap(), networks, Clock(), SystemRandom())
    run(_run_until_signal, daemon)


async def _run_until_signal(daemon):
    # Opened before the daemon starts: a signal that comes meanwhile would otherwise
    # end the process by its default, without a stop and with another exit code.
    with open_signal_receiver(SIGTERM, SIGINT) as signals:
        async with open_nursery() as nursery:
            await nursery.start(daemon.run)
            log_event("started")
            async for number in signals:
                log_event("stopping", signal=int(number))
                break
            # A second signal ends the process at once, cutting what is left.
            nursery.start_soon(_cut_on_signal, signals, nursery.cancel_scope)
            await daemon.stop()
            nursery.cancel_scope.cancel()
    log_event("stopped")


async def _cut_on_signal(signals, scope):
    async for _number in signals:
        log_event("cut", level="warning")
        scope.cancel()
