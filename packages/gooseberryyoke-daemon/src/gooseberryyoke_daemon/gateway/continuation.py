"""What goes on with a stream of events that broke off."""

__all__ = ["Continuation", "NotContinued"]

_MOST_DIGITS = 18
"""Of ids that are compared as numbers. Python reads no numbers of thousands of
digits, and ids are chosen by servers."""
_MOST_HELD_BYTES = 64 * 1024
"""Of events held back until one has an id; a server that gives none must not fill
the memory."""


class NotContinued(Exception):
    """An answer whose events do not follow those that were passed on."""


class Continuation:
    """
    Knows what was passed on of a stream, and whether events go on with it.

    The first server's answer is taken as it is. So is that of a further one while
    nothing but comments was passed on. Later, its first event with an id has to follow
    the last one, and what precedes it is held back until then.
    """

    __slots__ = (
        "_first_id",
        "_last_id",
        "_counts_up",
        "_is_begun",
        "_is_after_id",
        "_is_awaited",
        "_held",
        "_held_bytes",
    )

    def __init__(self):
        self._first_id = self._last_id = None
        self._counts_up = False
        self._is_begun = False
        self._is_after_id = True
        self.begin_answer()

    def begin_answer(self):
        """Expect the answer of another server."""
        self._is_awaited = True
        self._held = []
        self._held_bytes = 0

    @property
    def may_begin_anew(self):
        """Whether nothing but comments was passed on."""
        return not self._is_begun

    @property
    def may_resume(self):
        """Whether another server may be asked for what is missing."""
        return self.may_begin_anew or self._is_after_id

    @property
    def is_awaited(self):
        """Whether the answer has neither gone on with the stream nor begun it."""
        return self._is_awaited

    @property
    def holds_events(self):
        """Whether the answer had events, none of them with an id."""
        return bool(self._held)

    def admit(self, events):
        """
        Give the events that are to be passed on now.

        Parameters
        ----------
        events : list of Event
            The next ones of the answer.

        Returns
        -------
        list of Event
            With those held back before; none if these are held back too.

        Raises
        ------
        NotContinued
        """
        if self._is_awaited and self._is_begun:
            events = self._admit_first(events)
        elif events:
            self._is_awaited = False
        for event in events:
            self._note(event)
        return events

    def _admit_first(self, events):
        first_id = next((event.id for event in events if event.id), None)
        if first_id is None:
            return self._hold(events)
        if not self._is_next(first_id):
            detail = f"event {first_id} does not follow event {self._last_id}"
            raise NotContinued(detail)
        self._is_awaited = False
        held, self._held = self._held, []
        return held + events

    def _hold(self, events):
        """Hold events back; give the comments before them, as they keep callers."""
        comments = 0
        while (
            not self._held and comments < len(events) and _is_comment(events[comments])
        ):
            comments += 1
        self._held += events[comments:]
        self._held_bytes += sum(len(event.data) for event in events[comments:])
        if self._held_bytes > _MOST_HELD_BYTES:
            raise NotContinued(f"no id in {self._held_bytes} bytes of events")
        return events[:comments]

    def _is_next(self, id):
        if id in (self._first_id, self._last_id):
            return False
        if self._counts_up:
            return _is_number(id) and int(id) == int(self._last_id) + 1
        if _is_number(id) and _is_number(self._last_id):
            return int(id) > int(self._last_id)
        return True

    def _note(self, event):
        if event.id:
            self._note_id(event.id)
            self._is_begun = self._is_after_id = True
        elif not _is_comment(event):
            # An empty id takes back the last one.
            self._is_begun, self._is_after_id = True, False

    def _note_id(self, id):
        if self._first_id is None:
            self._first_id = id
            self._counts_up = _is_number(id)
        elif self._counts_up:
            self._counts_up = _is_number(id) and int(id) == int(self._last_id) + 1
        self._last_id = id


def _is_number(id):
    return id.isdecimal() and len(id) <= _MOST_DIGITS


def _is_comment(event):
    """Tell whether a block has nothing but comments and a time to wait."""
    lines = event.data.splitlines()
    return all(line[:1] in (b"", b":") or _is_retry(line) for line in lines)


def _is_retry(line):
    return line.partition(b":")[0] == b"retry"
