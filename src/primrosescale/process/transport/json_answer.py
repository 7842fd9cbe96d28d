"""Parses answers in JSON so that a malformed object in a list affects no other.

An object that is nested too deeply for the parser, contains invalid UTF-8, or a number
of thousands of digits makes the whole answer unparsable, and with it all other objects.
Such an answer is divided at its brackets and commas first, and each part is parsed
separately.
"""

from __future__ import annotations

import re
from bisect import bisect_left
from typing import TYPE_CHECKING
from typing import Any

from primrosescale.process.exceptions import PlatformUnavailableError
from primrosescale.process.transport.json_reader import read_json

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterator

# Levels of an answer that are divided: the answer, a list in it, an object in that
# list, and an object in this one.
LEVELS = 4
_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
_BRACKETS = rb"[\[{]+|[\]}]+"
# Tokens of the divided levels and of those below, which need no commas. A quotation
# mark alone begins a string without an end.
_OUTER = re.compile(_STRING + rb"|" + _BRACKETS + rb'|,|"', re.DOTALL)
_INNER = re.compile(_STRING + rb"|" + _BRACKETS + rb'|"', re.DOTALL)
_OUTER_WITHOUT_STRINGS = re.compile(_BRACKETS + rb"|,")
_INNER_WITHOUT_STRINGS = re.compile(_BRACKETS)
_NAME = re.compile(_STRING, re.DOTALL)


def read_answer(
    body: bytes, lists: Collection[str], nested: str = ""
) -> dict[str, Any]:
    """Parse an answer and return its members.

    Parameters
    ----------
    body : bytes
        The body of the answer.
    lists : Collection[str]
        Names of its members that list objects.
    nested : str
        Name of the member of a listed object that is an object itself, of which the
        members are parsed separately too; empty for none.

    Returns
    -------
    dict[str, Any]
        The members. A member of an object that cannot be parsed is returned as
        the bytes received.

    Raises
    ------
    PlatformUnavailableError
        When the answer is not a JSON object, or cannot be split.
    """
    try:
        fields = read_json(body)
    except (ValueError, RecursionError):
        fields = _split_answer(body, lists, nested)
    if not isinstance(fields, dict):
        raise PlatformUnavailableError("malformed answer: not an object")
    return fields


def _split_answer(body: bytes, lists: Collection[str], nested: str) -> Any:
    """Parse the members of an answer that cannot be parsed as a whole."""
    try:
        answer = _Outline(body).whole
        return {
            name: (
                [_split_object(part, nested) for part in value.parts()]
                if name in lists
                else read_json(value.text)
            )
            for name, value in answer.members()
        }
    except (ValueError, RecursionError) as error:
        detail = f"malformed answer: {type(error).__name__}"
        raise PlatformUnavailableError(detail) from error


def _split_object(part: _Part, nested: str) -> Any:
    """Parse an object or event; members that cannot be parsed stay bytes."""
    try:
        return read_json(part.text)
    except (ValueError, RecursionError):
        pass
    try:
        members = list(part.members())
    except (ValueError, RecursionError):
        return part.text
    return {
        name: (
            _split_object(value, nested)
            if name == nested
            else _parse_or_keep_bytes(value.text)
        )
        for name, value in members
    }


def _parse_or_keep_bytes(text: bytes) -> Any:
    try:
        return read_json(text)
    except (ValueError, RecursionError):
        return text


class _Outline:
    """Where the outer levels of a text are divided, found in one pass over it.

    Parameters
    ----------
    text : bytes
        The text.
    """

    __slots__ = ("_closings", "_commas", "text")

    def __init__(self, text: bytes) -> None:
        self.text = text
        # Positions by level, in ascending order.
        self._commas: list[list[int]] = [[] for _ in range(LEVELS + 1)]
        self._closings: list[list[int]] = [[] for _ in range(LEVELS + 1)]
        self._scan()

    @property
    def whole(self) -> _Part:
        """Return the whole text."""
        return _Part(self, 0, len(self.text), 1)

    def commas(self, level: int, begin: int, end: int) -> list[int]:
        """Return the positions of the commas of a level in a part of the text."""
        return _between(self._commas[level], begin, end)

    def closings(self, level: int, begin: int, end: int) -> list[int]:
        """Return the positions of the brackets that close a level there."""
        return _between(self._closings[level], begin, end)

    def _scan(self) -> None:
        outer, inner = _OUTER, _INNER
        level = position = 0
        while True:
            pattern = outer if level <= LEVELS else inner
            token = pattern.search(self.text, position)
            if token is None:
                return
            begin, position = token.span()
            first = self.text[begin]
            if first in b"[{":
                level += position - begin
            elif first in b"]}":
                for place in range(begin, position):
                    if 0 < level <= LEVELS:
                        self._closings[level].append(place)
                    level -= 1
            elif first in b",":
                if level > 0:
                    self._commas[level].append(begin)
            elif position - begin == 1:
                # Once a string has no end, no later one has: its end would be that of
                # the first one too. Each search for it would read the rest of the text.
                outer, inner = _OUTER_WITHOUT_STRINGS, _INNER_WITHOUT_STRINGS


class _Part:
    """A value in a text that is divided, without the white space around it.

    Parameters
    ----------
    outline : _Outline
        Where the text is divided.
    begin : int
        Position of its first byte, or of white space before it.
    end : int
        Position after its last byte, or after white space there.
    level : int
        Level of its own members, if it is a list or an object.
    """

    __slots__ = ("_begin", "_end", "_level", "_outline")

    def __init__(self, outline: _Outline, begin: int, end: int, level: int) -> None:
        text = outline.text[begin:end]
        self._outline = outline
        self._begin = begin + len(text) - len(text.lstrip())
        self._end = self._begin + len(text.strip())
        self._level = level

    @property
    def text(self) -> bytes:
        """Return its bytes."""
        return self._outline.text[self._begin : self._end]

    def parts(self) -> list[_Part]:
        """Return what is between its commas.

        Raises
        ------
        ValueError
            When it is neither a list nor an object, or its brackets do not match.
        """
        outline, begin, end, level = self._outline, self._begin, self._end, self._level
        if outline.text[begin : begin + 1] not in {b"[", b"{"}:
            raise ValueError("neither an object nor a list")
        if level > LEVELS or outline.closings(level, begin, end) != [end - 1]:
            raise ValueError("brackets do not match")
        ends = [*outline.commas(level, begin, end), end - 1]
        begins = [begin + 1, *(comma + 1 for comma in ends[:-1])]
        parts = [
            _Part(outline, *place, level + 1)
            for place in zip(begins, ends, strict=True)
        ]
        return [] if len(parts) == 1 and not parts[0].text else parts

    def members(self) -> Iterator[tuple[str, _Part]]:
        """Yield its members, if it is an object.

        Raises
        ------
        ValueError
            When it is none.
        """
        for part in self.parts():
            yield part.named_value()

    def named_value(self) -> tuple[str, _Part]:
        """Return the name and the value of a member.

        Raises
        ------
        ValueError
            When it is no member of an object.
        """
        outline = self._outline
        token = _NAME.match(outline.text, self._begin, self._end)
        if token is None:
            raise ValueError("member without a name")
        name = read_json(token.group())
        colon = outline.text.find(b":", token.end(), self._end)
        has_colon = colon >= 0 and not outline.text[token.end() : colon].strip()
        if not isinstance(name, str) or not has_colon:
            raise ValueError("member without a value")
        return name, _Part(outline, colon + 1, self._end, self._level)


def _between(positions: list[int], begin: int, end: int) -> list[int]:
    return positions[bisect_left(positions, begin) : bisect_left(positions, end)]
