"""Admission of requests by prediction, patience and shares between accounts."""

from gooseberryyoke.admission.admission import Admission
from gooseberryyoke.admission.shares import Shares
from gooseberryyoke.admission.ticket import Ticket

__all__ = ["Admission", "Shares", "Ticket"]
