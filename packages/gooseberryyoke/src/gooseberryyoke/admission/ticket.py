"""An admitted request."""

from gooseberryyoke.record import Record

__all__ = ["Ticket"]


class Ticket(Record):
    """
    An admitted request, to be released when it ends.

    Parameters
    ----------
    number : int
        Number within one `Admission`.
    account : str
        Client account.
    request_class : str
        Class of the request within its account.
    service : str
    cost_s : float
        Predicted time in a batch slot, which is what shares are counted in.
    admitted_at_s : float
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
