"""What the commands share: addresses, transport, clock and form of the answer."""

import time
from itertools import cycle

from gooseberryyoke_client.exceptions import EntryUnreachableError

__all__ = ["Session"]

_TIMEOUT_S = 10.0
_UNAVAILABLE = 503
_RETRY_S = 1.0
_ORDER_ANSWER_S = 1.0
"""For which an order waits for the answer of one control process. That one carries out
no order that is older."""
_ORDER_PAUSE_S = 0.1
"""After an answer that isn't final, and after none. An address that refuses connections
answers at once."""


class Session:
    """
    The entries or control processes that commands talk to.

    Parameters
    ----------
    transport : HttpTransport
    monotonic : callable, optional
        Gives seconds.
    sleep : callable, optional
        Takes seconds.

    Attributes
    ----------
    entries : tuple of str
        Operators' addresses, in the order in which they are tried.
    as_json : bool
    """

    def __init__(self, transport, monotonic=time.monotonic, sleep=time.sleep):
        self._transport = transport
        self.monotonic = monotonic
        self.sleep = sleep
        self.entries = ()
        self.as_json = False

    def trust(self, ca_file):
        """
        Use TLS; see `HttpTransport.trust`.

        Parameters
        ----------
        ca_file : str
        """
        self._transport.trust(ca_file)

    def ask(self, method, path, payload=None, is_final=lambda status: status != 503):
        """
        Ask the entries in turn until one gives a final answer.

        Parameters
        ----------
        method, path : str
        payload : object, optional
        is_final : callable, optional
            Tells by the status whether other entries needn't be asked.

        Returns
        -------
        address : str
        status : int
        payload : dict
            The first final answer, else the last answer of any kind.

        Raises
        ------
        EntryUnreachableError
            If none answered; the message has a line for each.
        """
        answer, failures = None, []
        for address in self.entries:
            try:
                status, reply = self._transport.send(
                    address, method, path, payload, _TIMEOUT_S
                )
            except EntryUnreachableError as exc:
                failures.append(str(exc))
                continue
            answer = (address, status, reply)
            if is_final(status):
                break
        if answer is None:
            raise EntryUnreachableError("\n".join(failures))
        return answer

    def order(self, method, path, payload, timeout_s):
        """
        Send an order to one control process after the other until it is settled.

        Parameters
        ----------
        method, path : str
        payload : object
        timeout_s : float
            For which the order is sent again.

        Returns
        -------
        address : str
        status : int
        payload : dict
            The first answer other than 503, else the last one.

        Raises
        ------
        EntryUnreachableError
            If none answered; the message has a line for each that was asked.
        """
        answer, failures = None, {}
        until_s = self.monotonic() + timeout_s
        for address in cycle(self.entries):
            left_s = until_s - self.monotonic()
            if left_s <= 0:
                break
            try:
                status, reply = self._transport.send(
                    address, method, path, payload, min(left_s, _ORDER_ANSWER_S)
                )
            except EntryUnreachableError as exc:
                failures[address] = str(exc)
            else:
                answer = (address, status, reply)
                if status != _UNAVAILABLE:
                    return answer
            self.sleep(_ORDER_PAUSE_S)
        if answer is None:
            raise EntryUnreachableError("\n".join(failures.values()))
        return answer

    def lines(self, path):
        """
        Read an endless answer from the entries in turn.

        Parameters
        ----------
        path : str

        Yields
        ------
        address : str
        line : dict

        Raises
        ------
        EntryUnreachableError
            Once each entry has failed without a line since the last one that came.
        """
        failures = []
        while len(failures) < len(self.entries):
            for address in self.entries:
                try:
                    for line in self._transport.lines(address, path):
                        failures = []
                        yield address, line
                    failures.append(f"{address}: ended the answer")
                except EntryUnreachableError as exc:
                    failures.append(str(exc))
                self.sleep(_RETRY_S)
        raise EntryUnreachableError("\n".join(failures[-len(self.entries) :]))
