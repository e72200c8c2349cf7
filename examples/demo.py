"""Runs the example deployments on loopback, loses an entry, stops one, checks."""

import sys
from functools import partial
from pathlib import Path
from random import Random

import click
import trio

from examples.demonstration.caller import Caller
from examples.demonstration.deployment import Deployment
from examples.demonstration.ports import Ports
from examples.demonstration.processes import ROOT
from examples.demonstration.profile import PROFILES
from examples.demonstration.report import Point, check_outcomes, class_table
from examples.demonstration.workload import make_jobs
from gooseberryyoke.outcome import Verdict

__all__ = ["main"]

_STOP_TIMEOUT_S = 20.0
_FORGET_TIMEOUT_S = 15.0
_POLL_S = 0.2
_LOSS_SHARE = 0.25
_BURST = 40
_BURST_S = 0.03
_STOP_SHARE = 0.35
_ROLL_SHARE = 0.6
_IN_FORCE_S = 2.0


class Demo:
    """
    One deployment's run.

    Parameters
    ----------
    profile : Profile
        Which deployment.
    folder : pathlib.Path
        For its files.
    ports : Ports
        Shared by all deployments of a run.
    jobs : int
        Requests to send.
    rate_per_s : float
        At which they are sent.
    seed : int
        Of the mix.
    """

    def __init__(self, profile, folder, ports, jobs, rate_per_s, seed):
        self._deployment = Deployment(profile, folder, ports)
        self._interval_s = 1 / rate_per_s
        self._rng = Random(seed)
        self._jobs = make_jobs(profile, jobs, self._rng)
        known = [entry.callers for entry in self._deployment.entries]
        self._callers = {
            account: Caller(profile.name, account, known, Random(f"{seed} {account}"))
            for account in profile.accounts
        }
        self._outcomes = []
        self._live = []
        self._stop_faults = []
        self._in_force_s = None

    async def run(self):
        """
        Start, send, lose one entry and stop another meanwhile, check, stop all.

        Returns
        -------
        str
            The report.
        bool
            Whether each point held.
        """
        deployment = self._deployment
        started_s = trio.current_time()
        try:
            await deployment.start()
            ready_s = trio.current_time()
            points = [await self._send_all()]
            sent_s = trio.current_time()
            points += [
                self._check_roll(),
                await self._check_bundle(),
                await self._check_addresses(),
                *check_outcomes(self._outcomes, await deployment.executions()),
                await self._check_stop(),
            ]
        finally:
            deployment.processes.kill_all()
        title = (
            f"{deployment.profile.name}: {len(self._jobs)} requests; "
            f"started in {ready_s - started_s:.0f} s, "
            f"sent in {sent_s - ready_s:.0f} s, "
            f"checked and stopped in {trio.current_time() - sent_s:.0f} s"
        )
        report = [title, "", class_table(self._outcomes), "", *map(str, points)]
        return "\n".join(report), not any(point.faults for point in points)

    async def _send_all(self):
        entries = self._deployment.entries
        # Of the three replicas one is lost; the entry that stops holds none, so that
        # a majority is left.
        lost, stopping = self._rng.choice(entries[:-1]), entries[-1]
        self._live = [entry for entry in entries if entry not in (lost, stopping)]
        loss = round(len(self._jobs) * _LOSS_SHARE)
        events = {
            loss: partial(self._lose, lost),
            round(len(self._jobs) * _STOP_SHARE): partial(self._stop, stopping),
            round(len(self._jobs) * _ROLL_SHARE): self._roll,
        }
        async with trio.open_nursery() as nursery:
            for number, job in enumerate(self._jobs):
                if number in events:
                    nursery.start_soon(events[number])
                nursery.start_soon(self._send, job)
                # All at once right before the loss, so that it meets calls of each
                # class on their way.
                is_burst = loss - _BURST <= number < loss - 1
                await trio.sleep(0.0 if is_burst else self._interval_s)
        return self._check_planned_stop(stopping)

    async def _send(self, job):
        self._outcomes.append(await self._callers[job.account].send(job))

    async def _lose(self, entry):
        await trio.sleep(_BURST_S)
        self._deployment.processes.kill(entry.name)

    async def _stop(self, entry):
        self._stop_faults = await self._deployment.processes.stop(
            [entry.name], _STOP_TIMEOUT_S
        )

    async def _roll(self):
        self._in_force_s = await self._deployment.roll_next(self._live)

    def _check_roll(self):
        shown = f"version 2 in force on each live entry {self._in_force_s:.2f} s after"
        late = self._in_force_s > _IN_FORCE_S
        faults = [f"expected within {_IN_FORCE_S:g} s"] if late else []
        return Point(f"{shown} its acceptance", faults)

    def _check_planned_stop(self, entry):
        cut = [
            f"{outcome.job.name}: {note}"
            for outcome in self._outcomes
            for verdict, note in outcome.failures
            if verdict is not Verdict.NOT_RUN and note.startswith(str(entry.callers))
        ]
        faults = [f"{name} did not end with status 0" for name in self._stop_faults]
        return Point(f"the planned stop of {entry.name} cut no request", faults + cut)

    async def _check_bundle(self):
        status = await self._deployment.status()
        names = {entry.name for entry in self._live}
        faults = [
            f"{entry['name']}: {entry['state']}, version {entry['version']}"
            for entry in status["entries"]
            if entry["name"] in names
            and (entry["state"], entry["version"]) != ("serving", 2)
        ]
        missing = names - {entry["name"] for entry in status["entries"]}
        faults += [f"{name} is not known to {status['entry']}" for name in missing]
        return Point("the bundle is in force on each live entry", faults)

    async def _check_addresses(self):
        caller = next(iter(self._callers.values()))
        wanted = {entry.callers for entry in self._live}
        with trio.move_on_after(_FORGET_TIMEOUT_S):
            while set(await caller.entries()) != wanted:
                await trio.sleep(_POLL_S)
        named = set(await caller.entries())
        faults = []
        if named != wanted:
            shown = [", ".join(sorted(map(str, group))) for group in (named, wanted)]
            faults.append(f"named: {shown[0]}; expected: {shown[1]}")
        return Point("callers are told of the live entries only", faults)

    async def _check_stop(self):
        processes = self._deployment.processes
        faults = [f"{name} ended early" for name in processes.ended()]
        bad = await processes.stop(processes.names(), _STOP_TIMEOUT_S)
        faults += [f"{name} did not stop with status 0" for name in bad]
        return Point("each process stops when asked", faults)


async def _run_all(folder, jobs, rate_per_s, seed, names):
    results = []
    ports = Ports()

    async def run_one(profile):
        demo = Demo(profile, folder / profile.name, ports, jobs, rate_per_s, seed)
        report, good = await demo.run()
        click.echo(f"\n{report}")
        results.append(good)

    async with trio.open_nursery() as nursery:
        for profile in PROFILES:
            if profile.name in names:
                nursery.start_soon(run_one, profile)
    return all(results)


@click.command()
@click.option(
    "--folder",
    type=click.Path(path_type=Path),
    default=ROOT / "out" / "demo",
    help="For settings, keys, logs and data; emptied first.",
)
@click.option("--jobs", default=500, show_default=True, help="For each deployment.")
@click.option("--rate", default=40.0, show_default=True, help="Requests a second.")
@click.option("--seed", default=1, show_default=True, help="Of the mix of requests.")
@click.option(
    "--deployment",
    "names",
    multiple=True,
    type=click.Choice([profile.name for profile in PROFILES]),
    default=[profile.name for profile in PROFILES],
    help="Only this one; may be given again.",
)
def main(folder, jobs, rate, seed, names):
    """Run the example deployments and check what their callers get."""
    good = trio.run(_run_all, folder, jobs, rate, seed, names)
    click.echo("\neach point held" if good else "\nsome points did not hold")
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
