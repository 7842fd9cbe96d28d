"""Parses INI text and builds settings objects from its sections."""

from __future__ import annotations

import difflib
from configparser import ConfigParser
from configparser import Error as ParserError
from dataclasses import MISSING
from dataclasses import fields
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar
from typing import cast

from primrosescale.ini.exceptions import Fault
from primrosescale.ini.exceptions import IniError
from primrosescale.ini.options import METADATA_KEY

if TYPE_CHECKING:
    from collections.abc import Mapping

    from primrosescale.ini.options import OptionDeclaration

S = TypeVar("S")


def parse_text(text: str, source: str) -> ConfigParser:
    """Parse INI text into sections and options, without interpreting values.

    Parameters
    ----------
    text : str
        The INI text.
    source : str
        Name of the text, used in error messages.

    Returns
    -------
    ConfigParser
        The sections and their options.

    Raises
    ------
    IniError
        When the text is not valid INI.
    """
    parser = ConfigParser(interpolation=None, default_section="\0none")
    try:
        parser.read_string(text, source)
    except ParserError as error:
        problem = " ".join(str(error).split())
        raise IniError(f"not INI: {problem}", "mend the line it names") from error
    return parser


def read_section(
    settings: type[S],
    section: str,
    options: Mapping[str, str],
    faults: list[Fault],
    preset: Mapping[str, Any] | None = None,
) -> S | None:
    """Build a settings object from the options of a section.

    Parameters
    ----------
    settings : type[S]
        A dataclass whose fields were made by `option`.
    section : str
        Name of the section, used in faults.
    options : Mapping[str, str]
        Text of each option by its name.
    faults : list[Fault]
        List to which every fault found is appended.
    preset : Mapping[str, Any] | None
        Fields whose values do not come from the options.

    Returns
    -------
    S | None
        The settings; None when a fault was found.
    """
    fault_count = len(faults)
    values: dict[str, Any] = dict(preset or {})
    known: list[str] = []
    for item in fields(cast("Any", settings)):
        declaration = cast("OptionDeclaration | None", item.metadata.get(METADATA_KEY))
        if declaration is None:
            continue
        known.append(item.name)
        text = options.get(item.name)
        if text is None:
            if item.default is MISSING:
                faults.append(_missing_option(section, item.name, declaration))
            continue
        try:
            values[item.name] = declaration.kind.parse(text)
        except ValueError:
            faults.append(_invalid_value(section, item.name, text, declaration))
    faults.extend(
        _unknown_option(section, key, options[key], known)
        for key in options
        if key not in known
    )
    if len(faults) > fault_count:
        return None
    return settings(**values)


def unknown_section(section: str, known: list[str]) -> Fault:
    """Return the fault for a section with an unknown name.

    Parameters
    ----------
    section : str
        Name of the section.
    known : list[str]
        Names of the sections that exist.

    Returns
    -------
    Fault
        The fault.
    """
    return Fault(section, "", "", "unknown section", _suggest(section, known))


def _missing_option(section: str, key: str, declaration: OptionDeclaration) -> Fault:
    remedy = f"add it: write {declaration.kind.expects}"
    return Fault(section, key, "", "missing", remedy)


def _invalid_value(
    section: str, key: str, text: str, declaration: OptionDeclaration
) -> Fault:
    return Fault(section, key, text, "wrong value", f"write {declaration.kind.expects}")


def _unknown_option(section: str, key: str, text: str, known: list[str]) -> Fault:
    return Fault(section, key, text, "unknown option", _suggest(key, known))


def _suggest(name: str, known: list[str]) -> str:
    near = difflib.get_close_matches(name, known, n=1)
    if near:
        return f"did you mean {near[0]}?"
    return f"remove it, or use one of {', '.join(known)}"
