"""One replica of a world whose steps a scheduler chooses."""

from gooseberryyoke.register import Acceptor, ReplicaState
from gooseberryyoke.register.state import READY

__all__ = ["WorldReplica"]


class WorldReplica:
    """One replica: what is synced, what is not, and how far it has joined."""

    def __init__(self, seat, changes):
        self.seat = seat
        self.synced = list(changes)
        self.unsynced = []
        self.is_up = True
        self.forget_copy()
        self.way_in = None
        self.load()

    def load(self):
        """Forget all that is not synced."""
        state = ReplicaState()
        for change in self.synced:
            state.apply(change)
        self.unsynced = []
        self.forget_copy()
        self.way_in = None
        self.acceptor = Acceptor(state, is_admitted=True)

    def forget_copy(self):
        """Begin the next copy from the first page, and with no slots."""
        self.copied = {}

    @property
    def state(self):
        """Of its acceptor."""
        return self.acceptor.state

    @property
    def is_ready(self):
        """Whether it votes."""
        return self.is_up and self.acceptor.phase() == READY

    def record(self, changes):
        """Apply and sync."""
        for change in changes:
            self.state.apply(change)
        self.synced += changes

    def sync(self):
        """Sync; return the replies that waited for it."""
        replies = [reply for _, reply in self.unsynced]
        for changes, _ in self.unsynced:
            self.synced += changes
        self.unsynced = []
        return replies
