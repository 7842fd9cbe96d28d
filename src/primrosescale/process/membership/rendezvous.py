"""An order of names that all who know the same names agree on."""

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
        Who may be chosen.
    key : str
        What for.
    count : int
        How many at the most.

    Returns
    -------
    list[str]
        The same for all who know the same names.
    """
    ranked = sorted(
        names, key=lambda name: xxh3_64_intdigest(f"{key}\0{name}".encode())
    )
    return ranked[:count]
