"""What gateways tell each other of their load, and how it is packed."""

from enum import IntEnum

import orjson

__all__ = ["Hop", "LoadNews", "pack_datagrams", "split_words"]

_MOST_WORDS = 100
"""Of servers, in one piece of news."""
_DATAGRAM_BYTES = 1200
"""Longer ones would be sent in parts, and be lost with any of them."""
_MOST_SERVICES = 20
_MOST_LEVELS = 40
_MOST_WAITING = 100_000
"""Bounds of what is believed of the requests that wait at another gateway."""


class Hop(IntEnum):
    """How far a datagram has come; within a data centre each gateway tells each."""

    OWN = 0
    BETWEEN = 1
    PASSED_ON = 2
    ANNOUNCED = 3
    """Counts of single servers, sent straight to all gateways; see `SlotNews`."""
    CRASHES = 4
    """Records of `CrashNews`, sent straight to gateways."""


class LoadNews:
    """
    What one gateway tells.

    Parameters
    ----------
    gateway : str
    counts : dict of str to int
        Its requests by server.
    is_all : bool
        Servers that are not named have none.
    limits : dict of str to list
        See `Peers.told_limits`.
    backoffs : dict of str to int
        See `Peers.take_backoffs`.
    waiting : dict of str to list, optional
        By service, lists of urgency and number of requests that wait. None if nothing
        is said of them.
    group_limits : dict of str to list, optional
        See `GroupLimits.new_figures`.

    Attributes
    ----------
    waiting_counts : dict of str to dict of int to int or None
        What ``waiting`` says, checked and unpacked; None unless it was received.
    """

    __slots__ = (
        "gateway",
        "counts",
        "is_all",
        "limits",
        "backoffs",
        "waiting",
        "group_limits",
        "waiting_counts",
    )

    def __init__(
        self,
        gateway,
        counts,
        is_all,
        limits,
        backoffs,
        waiting=None,
        group_limits=None,
    ):
        self.waiting = waiting
        self.gateway = gateway
        self.counts = counts
        self.is_all = is_all
        self.limits = limits
        self.backoffs = backoffs
        self.group_limits = group_limits or {}
        self.waiting_counts = None

    @property
    def needs_sender(self):
        """Whether it is taken only of a gateway that is there."""
        return self.waiting_counts is not None or bool(self.group_limits)

    @classmethod
    def from_json(cls, packed):
        """
        Undo `packed`.

        Parameters
        ----------
        packed : list

        Returns
        -------
        LoadNews

        Raises
        ------
        TypeError, ValueError
            If it has another form.
        """
        gateway, counts, is_all, limits, backoffs, *more = packed
        waiting = more[0] if more else None
        waiting_counts = None if waiting is None else _read_waiting(waiting)
        group_limits = dict(more[1]) if len(more) > 1 else {}
        words = dict(limits), dict(backoffs), waiting, group_limits
        news = cls(str(gateway), dict(counts), bool(is_all), *words)
        news.waiting_counts = waiting_counts
        return news

    def packed(self):
        """
        Give the fields in order, without those at the end that say nothing.

        Returns
        -------
        list
        """
        fields = [self.gateway, self.counts, self.is_all, self.limits, self.backoffs]
        if self.group_limits:
            return [*fields, self.waiting, self.group_limits]
        return fields if self.waiting is None else [*fields, self.waiting]

    def followed_by(self, later):
        """
        Give what this and a later piece of news tell together.

        Parameters
        ----------
        later : LoadNews
            Of the same gateway.

        Returns
        -------
        LoadNews
        """
        counts = later.counts if later.is_all else {**self.counts, **later.counts}
        is_all = self.is_all or later.is_all
        limits = {**self.limits, **later.limits}
        backoffs = {**self.backoffs, **later.backoffs}
        group_limits = {**self.group_limits, **later.group_limits}
        waiting = self.waiting if later.waiting is None else later.waiting
        words = limits, backoffs, waiting, group_limits
        return LoadNews(self.gateway, counts, is_all, *words)


def _read_waiting(waiting):
    """Check and unpack the requests that wait at a gateway; raises ValueError."""
    if len(waiting) > _MOST_SERVICES:
        raise ValueError(f"requests wait for {len(waiting)} services")
    found = {}
    for service, levels in dict(waiting).items():
        if len(levels) > _MOST_LEVELS:
            raise ValueError(f"requests of {len(levels)} urgencies wait")
        counts = found[service] = {}
        for level, count in levels:
            if type(level) is not int or type(count) is not int:
                raise ValueError(f"urgency {level!r} or count {count!r} is no number")
            if not 1 <= count <= _MOST_WAITING:
                raise ValueError(f"{count} requests of one urgency wait")
            counts[level] = count
    return found


def split_words(words):
    """
    Divide words on servers into pieces of bounded length.

    Parameters
    ----------
    words : dict
        By server.

    Yields
    ------
    dict
    """
    pairs = list(words.items())
    for first in range(0, len(pairs), _MOST_WORDS):
        yield dict(pairs[first : first + _MOST_WORDS])


def pack_datagrams(hop, sender, news):
    """
    Pack news into datagrams of bounded length, each of whole pieces.

    Parameters
    ----------
    hop : Hop
    sender : str
        Name of this gateway.
    news : list of LoadNews

    Yields
    ------
    bytes
    """
    packed, length_bytes = [], 0
    for item in news:
        data = orjson.dumps(item.packed())
        if packed and length_bytes + len(data) > _DATAGRAM_BYTES:
            yield _datagram(hop, sender, packed)
            packed, length_bytes = [], 0
        packed.append(data)
        length_bytes += len(data)
    yield _datagram(hop, sender, packed)


def _datagram(hop, sender, packed):
    return b"[%d,%s,[%s]]" % (hop, orjson.dumps(sender), b",".join(packed))
