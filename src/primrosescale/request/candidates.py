"""Order in which a chat's targets are tried, the same on every router.

The order comes from a consistent-hash ring of a service's targets. Routers
with the same list of targets agree without talking; routers whose lists
differ by a few targets agree on all chats but those of these targets.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from bisect import bisect_right
from dataclasses import dataclass
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from primrosescale.connection.endpoint import Endpoint

POINTS_PER_TARGET = 16
REMOTE_REGION_CANDIDATES = 2
HASHES_PER_CANDIDATE = 2


@dataclass(frozen=True, slots=True)
class Target:
    """A back end as a router knows it.

    Parameters
    ----------
    name : str
        Unique name.
    endpoint : Endpoint
        Where its agent listens.
    service : str
        The service it belongs to.
    domain : str
        Its failure domain.
    region : str
        Its region.
    """

    name: str
    endpoint: Endpoint
    service: str
    domain: str
    region: str


@dataclass(frozen=True, slots=True)
class Locality:
    """Where the process that chooses runs.

    Parameters
    ----------
    region : str
        Its region.
    domain : str
        Its failure domain.
    """

    region: str
    domain: str


class TargetRing:
    """Consistent-hash ring of one service's targets in one region.

    Parameters
    ----------
    points : int
        Points a target has on the ring.
    """

    def __init__(self, points: int = POINTS_PER_TARGET) -> None:
        self._points = points
        self._hashes = array("Q")
        self._owners = array("I")
        self._names: list[str] = []
        self._index: dict[str, int] = {}

    def __len__(self) -> int:
        """Return how many targets are on the ring."""
        return len(self._index)

    def add(self, name: str) -> None:
        """Put a target on the ring; twice is once.

        Parameters
        ----------
        name : str
            The target.
        """
        if name in self._index:
            return
        number = len(self._names)
        self._names.append(name)
        self._index[name] = number
        for point in self._ring_points(name):
            position = bisect_left(self._hashes, point)
            self._hashes.insert(position, point)
            self._owners.insert(position, number)

    def fill(self, names: Iterable[str]) -> None:
        """Replace all targets at once, cheaper than adding each.

        Parameters
        ----------
        names : Iterable[str]
            The targets.
        """
        self._names = sorted(set(names))
        self._index = {name: number for number, name in enumerate(self._names)}
        pairs = sorted(
            (point, number)
            for number, name in enumerate(self._names)
            for point in self._ring_points(name)
        )
        self._hashes = array("Q", [pair[0] for pair in pairs])
        self._owners = array("I", [pair[1] for pair in pairs])

    def remove(self, name: str) -> None:
        """Take a target off the ring; an unknown one is no error.

        Parameters
        ----------
        name : str
            The target.
        """
        number = self._index.pop(name, None)
        if number is None:
            return
        kept = [
            (point, owner)
            for point, owner in zip(self._hashes, self._owners, strict=True)
            if owner != number
        ]
        self._hashes = array("Q", [pair[0] for pair in kept])
        self._owners = array("I", [pair[1] for pair in kept])

    def walk(self, key: str, count: int) -> list[str]:
        """Return the first distinct targets for a key.

        Each candidate comes from a hash of its own. The clockwise neighbours
        of one point would be the same for all keys of an arc, so that an arc
        that overflows would overflow its neighbours too.

        Parameters
        ----------
        key : str
            What is placed.
        count : int
            How many at the most.

        Returns
        -------
        list[str]
            Names, the first candidate first.
        """
        wanted = min(count, len(self._index))
        found: list[int] = []
        size = len(self._hashes)
        if not wanted:
            return []
        data = key.encode()
        position = 0
        for seed in range(wanted * HASHES_PER_CANDIDATE):
            position = bisect_right(self._hashes, _point(data, seed))
            owner = self._owners[position % size]
            if owner not in found:
                found.append(owner)
            if len(found) == wanted:
                break
        while len(found) < wanted:
            position += 1
            owner = self._owners[position % size]
            if owner not in found:
                found.append(owner)
        return [self._names[owner] for owner in found]

    def _ring_points(self, name: str) -> list[int]:
        data = name.encode()
        return [_point(data, number) for number in range(self._points)]


def _point(data: bytes, number: int) -> int:
    """Return one of the points of a name.

    The number is part of what is hashed: with it as the seed, short names
    that differ in a few bits share most of their points.
    """
    return xxh3_64_intdigest(b"%d\0%s" % (number, data))


class ServiceTargets:
    """The targets of one service and their order for a request.

    The rule: targets of the router's own region come before those of other
    regions, which have the last two places, so that a region at its bound can
    spill over. Within a region a chat's order is that of the ring, whatever the
    domain, so that every router of the region finds the same first candidate.

    Parameters
    ----------
    locality : Locality
        Where the router runs.
    """

    def __init__(self, locality: Locality) -> None:
        self._locality = locality
        self._targets: dict[str, Target] = {}
        self._rings: dict[str, TargetRing] = {}

    def __len__(self) -> int:
        """Return how many targets there are."""
        return len(self._targets)

    def get(self, name: str) -> Target | None:
        """Return a target by name.

        Parameters
        ----------
        name : str
            Its name.

        Returns
        -------
        Target | None
            The target, if it is one of this service.
        """
        return self._targets.get(name)

    def targets(self) -> list[Target]:
        """Return all targets.

        Returns
        -------
        list[Target]
            In order of arrival.
        """
        return list(self._targets.values())

    def put(self, target: Target) -> None:
        """Add a target or replace the one of its name.

        Parameters
        ----------
        target : Target
            The target.
        """
        old = self._targets.get(target.name)
        if old is not None and old.region != target.region:
            self.remove(target.name)
        self._targets[target.name] = target
        self._rings.setdefault(target.region, TargetRing()).add(target.name)

    def fill(self, targets: Iterable[Target]) -> None:
        """Replace all targets at once.

        Parameters
        ----------
        targets : Iterable[Target]
            The targets.
        """
        self._targets = {target.name: target for target in targets}
        names: dict[str, list[str]] = {}
        for target in self._targets.values():
            names.setdefault(target.region, []).append(target.name)
        self._rings = {region: TargetRing() for region in names}
        for region, ring in self._rings.items():
            ring.fill(names[region])

    def remove(self, name: str) -> None:
        """Remove a target; an unknown one is no error.

        Parameters
        ----------
        name : str
            Its name.
        """
        target = self._targets.pop(name, None)
        if target is None:
            return
        ring = self._rings[target.region]
        ring.remove(name)
        if not len(ring):
            del self._rings[target.region]

    def order(self, key: str, count: int) -> list[Target]:
        """Return the candidates of a request, the first first.

        Parameters
        ----------
        key : str
            The chat, or for a request without one a random key.
        count : int
            How many candidates at the most.

        Returns
        -------
        list[Target]
            Distinct targets.
        """
        regions = self._regions()
        names: list[str] = []
        for position, region in enumerate(regions):
            is_last = position + 1 == len(regions)
            wanted = count - len(names)
            if not is_last and wanted > REMOTE_REGION_CANDIDATES:
                wanted -= REMOTE_REGION_CANDIDATES
            names += self._rings[region].walk(key, wanted)
            if len(names) >= count:
                break
        return [self._targets[name] for name in names]

    def _regions(self) -> list[str]:
        own = self._locality.region
        return sorted(self._rings, key=lambda region: (region != own, region))
