"""Replacing a model's version: the new one is warm before the old one leaves."""

from enum import Enum

from gooseberryyoke.order.order import LoadModel, UnloadModel, WarmModel
from gooseberryyoke.record import Record

__all__ = ["EngineVersions", "SwapStep", "VersionState", "VersionSwap"]


class VersionState(Enum):
    """How far one engine is with one version."""

    ABSENT = "absent"
    LOADED = "loaded"
    WARM = "warm"
    DRAINING = "draining"


class EngineVersions(Record):
    """
    What one engine says of the two versions.

    Parameters
    ----------
    engine : str
    old, new : VersionState
        WARM takes requests, DRAINING finishes those that it has.
    old_streams : int
        Requests in flight on the old version.
    holds_both : bool
        Whether its memory has room for both.
    busy : bool
        Whether an order is running.
    """

    __slots__ = ("engine", "old", "new", "old_streams", "holds_both", "busy")

    def __init__(self, engine, old, new, old_streams=0, holds_both=True, busy=False):
        self.engine = engine
        self.old = old
        self.new = new
        self.old_streams = old_streams
        self.holds_both = holds_both
        self.busy = busy


class SwapStep(Record):
    """
    What to do next with one engine.

    Parameters
    ----------
    engine : str
    action : LoadModel, WarmModel, UnloadModel or None
        Order to send; None stops giving the old version new requests.
    """

    __slots__ = ("engine", "action")

    def __init__(self, engine, action):
        self.engine = engine
        self.action = action


class VersionSwap(Record):
    """
    Bring the engines of one model from one version to another.

    Parameters
    ----------
    model, old, new : str
    min_ready : int
        Engines that must take requests for the model at any time, in either
        version.
    max_loading : int
        Engines that may load at once.

    Notes
    -----
    Level-triggered: `plan` looks only at what the engines say, so that another
    lease holder goes on where this one stopped. A version that fails to load or
    to warm stays where it is, and the old one goes on taking requests.
    """

    __slots__ = ("model", "old", "new", "min_ready", "max_loading")

    def __init__(self, model, old, new, min_ready, max_loading=1):
        self.model = model
        self.old = old
        self.new = new
        self.min_ready = min_ready
        self.max_loading = max_loading

    def is_done(self, engines):
        """
        Tell whether only the new version is left, warm everywhere.

        Parameters
        ----------
        engines : sequence of EngineVersions

        Returns
        -------
        bool
        """
        return all(
            engine.new is VersionState.WARM and engine.old is VersionState.ABSENT
            for engine in engines
        )

    def plan(self, engines):
        """
        List the steps that are due.

        Parameters
        ----------
        engines : sequence of EngineVersions

        Returns
        -------
        list of SwapStep
            At most one for each engine.
        """
        ready = sum(map(_is_ready, engines))
        loading = sum(engine.busy for engine in engines)
        steps = []
        for engine in engines:
            if engine.busy:
                continue
            step = self._step(engine, ready)
            if step is None:
                continue
            if isinstance(step.action, (LoadModel, WarmModel)):
                if loading >= self.max_loading:
                    continue
                loading += 1
            # Counted at once, so that two engines can't leave on the strength
            # of each other.
            if step.action is None and engine.new is not VersionState.WARM:
                ready -= 1
            steps.append(step)
        return steps

    def _step(self, engine, ready):
        if engine.new is VersionState.LOADED:
            return SwapStep(engine.engine, WarmModel(self.model, self.new))
        if engine.new is VersionState.ABSENT:
            return self._make_room(engine, ready)
        return self._retire(engine)

    def _make_room(self, engine, ready):
        if engine.holds_both or engine.old is VersionState.ABSENT:
            return SwapStep(engine.engine, LoadModel(self.model, self.new))
        if engine.old is VersionState.WARM and ready <= self.min_ready:
            return None
        return self._retire(engine)

    def _retire(self, engine):
        if engine.old is VersionState.ABSENT:
            return None
        if engine.old is VersionState.WARM:
            return SwapStep(engine.engine, None)
        # A stream in flight runs on the old weights to its end.
        if engine.old_streams:
            return None
        return SwapStep(engine.engine, UnloadModel(self.model, self.old))


def _is_ready(engine):
    return VersionState.WARM in (engine.old, engine.new)
