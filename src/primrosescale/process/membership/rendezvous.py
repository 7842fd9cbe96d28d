"""Rendezvous hashing: an order of names that every process computes alike."""

from __future__ import annotations

from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Iterable


def first_by_rendezvous(names: Iterable[str], key: str, count: int) -> list[str]:
    """Return the first names by rendezvous hashing.

    Parameters
    ----------
    names : Iterable[str]
        Names to choose from.
    key : str
        Key that the choice is made for.
    count : int
        Maximum number to return.

    Returns
    -------
    list[str]
        The names with the lowest hashes, the same in every process that passes
        the same names and key.
    """
    ranked = sorted(
        names, key=lambda name: xxh3_64_intdigest(f"{key}\0{name}".encode())
    )
    return ranked[:count]
