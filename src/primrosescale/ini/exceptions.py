"""Errors found while reading INI text."""

from __future__ import annotations

from dataclasses import dataclass

from primrosescale.exceptions import PrimrosescaleError


@dataclass(frozen=True, slots=True)
class Fault:
    """One error in INI text.

    Parameters
    ----------
    section : str
        Section that contains the error.
    key : str
        Name of the option; empty when the error concerns the section itself.
    value : str
        Text given for the option.
    problem : str
        Description of the error.
    remedy : str
        How to correct it.
    """

    section: str
    key: str
    value: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        """Return the fault on one line."""
        where = f"[{self.section}]"
        if self.key:
            where += f" {self.key} = {self.value!r}"
        return f"{where}: {self.problem}; {self.remedy}"


class IniError(PrimrosescaleError):
    """INI text, or one of its options, is invalid."""


class FaultsError(ExceptionGroup[IniError]):
    """All errors found in one text.

    Parameters
    ----------
    message : str
        Summary that names the text.
    errors : list[IniError]
        One error for each fault.
    """


def faults_error(source: str, faults: list[Fault]) -> FaultsError:
    """Return an exception group that contains the given faults.

    Parameters
    ----------
    source : str
        Name of the text, such as its path.
    faults : list[Fault]
        The faults; at least one.

    Returns
    -------
    FaultsError
        The exception group.
    """
    errors = [
        IniError(f"[{f.section}] {f.key} = {f.value!r}: {f.problem}", f.remedy)
        if f.key
        else IniError(f"[{f.section}]: {f.problem}", f.remedy)
        for f in faults
    ]
    return FaultsError(f"{source}: {len(faults)} faults", errors)
