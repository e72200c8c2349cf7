"""The command line of operators."""

import click

from gooseberryyoke_client.commands.check import check
from gooseberryyoke_client.commands.evacuations import evacuations
from gooseberryyoke_client.commands.explain import explain
from gooseberryyoke_client.commands.history import history
from gooseberryyoke_client.commands.keys import keys
from gooseberryyoke_client.commands.losses import losses
from gooseberryyoke_client.commands.roll import roll
from gooseberryyoke_client.commands.show import show
from gooseberryyoke_client.commands.sign import sign
from gooseberryyoke_client.commands.status import status
from gooseberryyoke_client.commands.watch import watch
from gooseberryyoke_client.exit_codes import EXIT_CODE_HELP
from gooseberryyoke_client.session import Session
from gooseberryyoke_client.transport import HttpTransport

__all__ = ["gooseberryyoke", "main"]


@click.group(epilog=EXIT_CODE_HELP, context_settings={"max_content_width": 88})
@click.version_option(package_name="gooseberryyoke-client")
@click.pass_context
def gooseberryyoke(ctx):
    """
    Roll bundles and watch the load balancer.

    A bundle states who may wait how long at which hour, services and models, calls that
    may not be repeated, accounts, and the replicas of the durable state. The order of
    work: check, sign, roll, watch.
    """
    if ctx.obj is None:
        ctx.obj = Session(HttpTransport())


for _command in (
    keys,
    check,
    sign,
    roll,
    show,
    history,
    status,
    watch,
    explain,
    losses,
    evacuations,
):
    gooseberryyoke.add_command(_command)


def main():
    """Run the client as a program."""
    gooseberryyoke(prog_name="gooseberryyoke")
