"""Rolling update of a model version that keeps a minimum of engines ready."""

from enum import Enum

from gooseberryyoke.order.order import LoadModel, UnloadModel, WarmModel
from gooseberryyoke.record import Record

__all__ = ["EngineVersions", "SwapStep", "VersionState", "VersionSwap"]


class VersionState(Enum):
    """State of one version of a model on one engine."""

    ABSENT = "absent"
    LOADED = "loaded"
    WARM = "warm"
    DRAINING = "draining"


class EngineVersions(Record):
    """
    The reported states of the old and the new version on one engine.

    Parameters
    ----------
    engine : str
        Name of the engine.
    old, new : VersionState
        A ``WARM`` version accepts requests; a ``DRAINING`` one only finishes those
        in flight.
    old_streams : int
        Number of requests in flight on the old version.
    holds_both : bool
        Whether the engine's memory can hold both versions at once.
    busy : bool
        Whether an order is running on the engine.
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
    The next step of a rolling update on one engine.

    Parameters
    ----------
    engine : str
        Name of the engine.
    action : LoadModel, WarmModel, UnloadModel or None
        Action to order. None means to drain the old version, that is, to send it no
        new requests.
    """

    __slots__ = ("engine", "action")

    def __init__(self, engine, action):
        self.engine = engine
        self.action = action


class VersionSwap(Record):
    """
    A rolling update of the engines of a model from one version to another.

    Parameters
    ----------
    model, old, new : str
        Name of the model, of its old version and of its new version.
    min_ready : int
        Minimum number of engines that accept requests for the model at any time,
        in either version.
    max_loading : int
        Maximum number of engines that load or warm up at once; an engine that runs
        any other order counts as well.

    Notes
    -----
    Where an engine's memory can hold both versions, the new one is warmed up before
    the old one is drained.

    The update is level-triggered: `plan` depends only on the reported states of the
    engines, so that another lease holder can continue it. If the new version fails to
    load or to warm up, its reported state does not change, and the old version keeps
    serving requests, also on that engine if its memory can hold both versions.
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
        Return whether the new version is warm and the old one absent everywhere.

        Parameters
        ----------
        engines : sequence of EngineVersions
            Reported states of all engines of the model.

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
        Return the steps that are due.

        Parameters
        ----------
        engines : sequence of EngineVersions
            Reported states of all engines of the model.

        Returns
        -------
        list of SwapStep
            At most one step for each engine.
        """
        ready = sum(map(_is_ready, engines))
        loading = sum(engine.busy for engine in engines)
        steps = []
        for engine in engines:
            if engine.busy:
                continue
            step = self._plan_engine(engine, ready)
            if step is None:
                continue
            if isinstance(step.action, (LoadModel, WarmModel)):
                if loading >= self.max_loading:
                    continue
                loading += 1
            # A drained engine is subtracted at once. Otherwise two engines could be
            # drained in the same plan, each because the other is still ready.
            if step.action is None and engine.new is not VersionState.WARM:
                ready -= 1
            steps.append(step)
        return steps

    def _plan_engine(self, engine, ready):
        if engine.new is VersionState.LOADED:
            return SwapStep(engine.engine, WarmModel(self.model, self.new))
        if engine.new is VersionState.ABSENT:
            return self._plan_load(engine, ready)
        return self._plan_removal(engine)

    def _plan_load(self, engine, ready):
        if engine.holds_both or engine.old is VersionState.ABSENT:
            return SwapStep(engine.engine, LoadModel(self.model, self.new))
        if engine.old is VersionState.WARM and ready <= self.min_ready:
            return None
        return self._plan_removal(engine)

    def _plan_removal(self, engine):
        if engine.old is VersionState.ABSENT:
            return None
        if engine.old is VersionState.WARM:
            return SwapStep(engine.engine, None)
        # Streams in flight need the old weights until they end.
        if engine.old_streams:
            return None
        return SwapStep(engine.engine, UnloadModel(self.model, self.old))


def _is_ready(engine):
    return VersionState.WARM in (engine.old, engine.new)
