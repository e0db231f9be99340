"""The base class of all errors that birchslip raises, and errors shared by several packages."""

from __future__ import annotations

from pathlib import Path


class BirchslipError(Exception):
    """Base class of every error raised by birchslip itself."""


class InvalidInputError(BirchslipError, ValueError):
    """Input from outside the process is invalid; the message names the part of it that is."""


class ProtocolError(InvalidInputError):
    """A message of a peer violates the protocol of its connection."""


class ConfigurationError(InvalidInputError):
    """A setting, a configuration file or an operator's file is invalid."""


class StoreWriteError(BirchslipError, OSError):
    """A store on disk can't be opened or written, so no answer may depend on it.

    Attributes:
        location: The directory or file concerned.
        reason: What is wrong with it, in one line.
    """

    def __init__(self, location: Path, reason: str) -> None:
        """Create an error whose message is the location followed by the reason."""
        super().__init__(f"{location}: {reason}")
        self.location = location
        self.reason = reason
