"""The base class of all errors that birchslip raises, and errors shared by several packages."""

from __future__ import annotations

from pathlib import Path


class BirchslipError(Exception):
    """Base class of every error raised by birchslip itself."""


class InvalidInputError(BirchslipError, ValueError):
    """Input from outside that violates its format; the message names the offending part."""


class ProtocolError(InvalidInputError):
    """A message of a peer that violates its protocol."""


class ConfigurationError(InvalidInputError):
    """An invalid setting, configuration file or operator's file."""


class StoreWriteError(BirchslipError, OSError):
    """A store on disk can't be opened or written, so no answer may depend on it.

    Attributes:
        location: The directory or file concerned.
        reason: What is wrong with it, in one line.
    """

    def __init__(self, location: Path, reason: str) -> None:
        """Name the location first, then the reason."""
        super().__init__(f"{location}: {reason}")
        self.location = location
        self.reason = reason
