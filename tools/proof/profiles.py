"""How often what happens in a schedule."""

from gooseberryyoke.record import Record

__all__ = ["PROFILES", "Profile"]


class Profile(Record):
    """
    How often what happens; weights against one another.

    Parameters
    ----------
    step_s : float
        Time that a step takes.
    request, reply, sync : float
        Delivery of a request or a reply, and a replica's sync.
    crash, disk, join : float
        Crash, loss of a disk, and a step of a replica on its way back.
    switch : float
        A seat's other folder goes on with it; there is an empty one at first.
    succession : float
        A step on the way of a seat from its holder to a successor.
    """

    __slots__ = (
        "step_s",
        "request",
        "reply",
        "sync",
        "crash",
        "disk",
        "join",
        "switch",
        "succession",
    )

    def __init__(
        self, step_s, request, reply, sync, crash, disk, join, switch=0, succession=0
    ):
        self.step_s = step_s
        self.request = request
        self.reply = reply
        self.sync = sync
        self.crash = crash
        self.disk = disk
        self.join = join
        self.switch = switch
        self.succession = succession


PROFILES = {
    "mixed": Profile(0.01, 30, 30, 20, 0.8, 0.6, 8),
    # Replicas are replaced while single messages of a round are still on the way.
    "replaced": Profile(0.002, 8, 12, 20, 0.2, 2.0, 60),
    # Little goes wrong but the order, so that many operations come to an end.
    "crossed": Profile(0.004, 20, 20, 30, 0.05, 0.05, 8),
    # Seats are taken over, given up half-way and taken back.
    "contested": Profile(0.002, 12, 16, 20, 0.4, 0.3, 60, 2.0),
    # Seats are handed over, several at a time, among losses and takeovers.
    "handed over": Profile(0.002, 20, 24, 30, 0.2, 0.3, 40, 0.3, 3),
}
