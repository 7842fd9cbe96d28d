"""Reads JSON that anybody may have written."""

from __future__ import annotations

import json
from typing import Any
from typing import NoReturn

import orjson


def _reject_constant(text: str) -> NoReturn:
    raise ValueError(f"{text} is no number of JSON")


_DECODER = json.JSONDecoder(parse_constant=_reject_constant)


def read_json(data: bytes) -> Any:
    """Return what a JSON text says.

    Parameters
    ----------
    data : bytes
        The text.

    Returns
    -------
    Any
        Its value.

    Raises
    ------
    ValueError
        When it is none, or no UTF-8.
    RecursionError
        When it is nested too deep.
    """
    try:
        return orjson.loads(data)
    except ValueError:
        # For what it reads besides, such as halves of characters, and its reasons.
        return _DECODER.decode(data.decode())
