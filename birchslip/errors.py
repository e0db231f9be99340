"""The base of all errors that birchslip raises, and those that several packages share."""

from __future__ import annotations


class BirchslipError(Exception):
    """Base class of every error raised by birchslip itself."""


class InvalidInputError(BirchslipError, ValueError):
    """Input from outside that violates its format; the message names the offending part."""


class ProtocolError(InvalidInputError):
    """A message of a peer that violates its protocol."""


class ConfigurationError(InvalidInputError):
    """A setting, a configuration file or an operator's file that can't be used as it is."""
