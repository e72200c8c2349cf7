"""Ticket of an admitted request."""

from gooseberryyoke.record import Record

__all__ = ["Ticket"]


class Ticket(Record):
    """
    Ticket of an admitted request, to be released when the request ends.

    Parameters
    ----------
    number : int
        Number that identifies the ticket within one `Admission`.
    account : str
        Client account.
    request_class : str
        Class of the request within its account.
    service : str
        Service that the request is for.
    cost_s : float
        Predicted time in a batch slot in seconds, the unit of account shares.
    admitted_at_s : float
        Time of admission in seconds, on the entry's clock.
    """

    __slots__ = (
        "number",
        "account",
        "request_class",
        "service",
        "cost_s",
        "admitted_at_s",
    )

    def __init__(self, number, account, request_class, service, cost_s, admitted_at_s):
        self.number = number
        self.account = account
        self.request_class = request_class
        self.service = service
        self.cost_s = cost_s
        self.admitted_at_s = admitted_at_s
