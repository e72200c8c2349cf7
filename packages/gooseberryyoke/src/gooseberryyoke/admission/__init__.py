"""Admission control by predicted response times, patience and account shares."""

from gooseberryyoke.admission.admission import Admission
from gooseberryyoke.admission.shares import Shares
from gooseberryyoke.admission.ticket import Ticket

__all__ = ["Admission", "Shares", "Ticket"]
