"""``gooseberryyoke check``."""

import click
from returns.result import Failure

from gooseberryyoke.bundle import parse_bundle
from gooseberryyoke_client.answer import Answer, mistakes_answer
from gooseberryyoke_client.exit_codes import ExitCode
from gooseberryyoke_client.files import read_text
from gooseberryyoke_client.options import gives_answer

__all__ = ["check"]


@click.command()
@click.argument("bundle_file", metavar="BUNDLE")
@gives_answer
def check(session, bundle_file):
    """Check a bundle as a whole; names every mistake by path and line."""
    parsed = read_text(bundle_file).bind(parse_bundle)
    if isinstance(parsed, Failure):
        return mistakes_answer(parsed.failure(), bundle_file)
    bundle = parsed.unwrap()
    counts = {
        name: len(getattr(bundle, name)) for name in ("accounts", "services", "classes")
    }
    shown = ", ".join(f"{name} {count}" for name, count in counts.items())
    lines = [
        f"{bundle_file}: no mistakes",
        f"  {bundle.deployment} version {bundle.version}: {shown}",
        f"  digest {bundle.digest}",
    ]
    payload = {
        "deployment": bundle.deployment,
        "version": bundle.version,
        "digest": bundle.digest,
        **counts,
    }
    next_step = f"`gooseberryyoke sign {bundle_file}`, by each who signs off."
    return Answer(ExitCode.DONE, lines, payload, next_step)
