"""Validation of YAML documents that reports every mistake with its path and line."""

from gooseberryyoke.document.address import AddressField
from gooseberryyoke.document.collection import ListOf, MapOf
from gooseberryyoke.document.field import INVALID, Field, field_kinds, register
from gooseberryyoke.document.mistake import Mistake
from gooseberryyoke.document.reader import check_document
from gooseberryyoke.document.report import Report
from gooseberryyoke.document.scalar import (
    NAME_PATTERN,
    Choice,
    Flag,
    Integer,
    Name,
    Number,
    Text,
)
from gooseberryyoke.document.section import REQUIRED, Key, Section
from gooseberryyoke.document.time import TimeOfDay, TimeZone, time_zone

__all__ = [
    "INVALID",
    "NAME_PATTERN",
    "REQUIRED",
    "AddressField",
    "Choice",
    "Field",
    "Flag",
    "Integer",
    "Key",
    "ListOf",
    "MapOf",
    "Mistake",
    "Name",
    "Number",
    "Report",
    "Section",
    "Text",
    "TimeOfDay",
    "TimeZone",
    "check_document",
    "field_kinds",
    "register",
    "time_zone",
]
