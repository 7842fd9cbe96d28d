"""Parses untrusted JSON."""

from __future__ import annotations

import json
from typing import Any
from typing import NoReturn

import orjson


def _reject_constant(text: str) -> NoReturn:
    raise ValueError(f"{text} is not a JSON number")


_DECODER = json.JSONDecoder(parse_constant=_reject_constant)


def read_json(data: bytes) -> Any:
    """Parse a JSON text.

    Parameters
    ----------
    data : bytes
        The JSON text in UTF-8.

    Returns
    -------
    Any
        The value.

    Raises
    ------
    ValueError
        When the text is not JSON or not UTF-8.
    RecursionError
        When the text is nested too deeply.
    """
    try:
        return orjson.loads(data)
    except ValueError:
        # The standard parser also accepts lone surrogates and gives better reasons.
        return _DECODER.decode(data.decode())
