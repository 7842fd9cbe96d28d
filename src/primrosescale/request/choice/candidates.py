"""Decides the order in which the targets of a service are tried for a chat.

The order comes from a consistent-hash ring of the service's targets. Routers with
the same list of targets compute the same order without communicating; routers
whose lists differ in a few targets differ only for the chats of those targets.
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
    """A back end, with the address of the agent in front of it.

    Parameters
    ----------
    name : str
        Unique name.
    endpoint : Endpoint
        Address on which its agent listens.
    service : str
        Name of its service.
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
    """Region and failure domain in which this process runs.

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
        Number of points of each target on the ring.
    """

    def __init__(self, points: int = POINTS_PER_TARGET) -> None:
        self._points = points
        self._hashes = array("Q")
        self._owners = array("I")
        self._names: list[str] = []
        self._index: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of targets on the ring."""
        return len(self._index)

    def add(self, name: str) -> None:
        """Add a target to the ring; a target already on it is left unchanged.

        Parameters
        ----------
        name : str
            Name of the target.
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
        """Replace all targets, which costs less than adding them one by one.

        Parameters
        ----------
        names : Iterable[str]
            Names of the targets.
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
        """Remove a target from the ring; an unknown name is ignored.

        Parameters
        ----------
        name : str
            Name of the target.
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

        Each candidate is found by a separate hash of the key. The clockwise
        neighbours of a single point would be the same for all keys of an arc, so
        that an overloaded target would overload its neighbours too.

        Parameters
        ----------
        key : str
            Key to place, such as a chat.
        count : int
            Maximum number of targets.

        Returns
        -------
        list[str]
            Names of targets in the order in which they are tried.
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
    """Return one of the ring points of a name.

    The number is part of the hashed data. If it were the seed instead, short names
    that differ in a few bits would share most of their points.
    """
    return xxh3_64_intdigest(b"%d\0%s" % (number, data))


class ServiceTargets:
    """The targets of one service and their order for a request.

    Targets of the router's own region come before those of other regions. Of more
    than two candidates the last two are taken from other regions, so that a region
    at its load bound can spill over. Within a region the order for a chat is that
    of the ring, whatever the failure domain, so that every router of the region
    finds the same first candidate.

    Parameters
    ----------
    locality : Locality
        Region and failure domain of the router.
    """

    def __init__(self, locality: Locality) -> None:
        self._locality = locality
        self._targets: dict[str, Target] = {}
        self._rings: dict[str, TargetRing] = {}

    def __len__(self) -> int:
        """Return the number of targets."""
        return len(self._targets)

    def get(self, name: str) -> Target | None:
        """Return a target by name.

        Parameters
        ----------
        name : str
            Name of the target.

        Returns
        -------
        Target | None
            The target; None when the service has no target of this name.
        """
        return self._targets.get(name)

    def targets(self) -> list[Target]:
        """Return all targets.

        Returns
        -------
        list[Target]
            The targets in the order in which they were added.
        """
        return list(self._targets.values())

    def put(self, target: Target) -> None:
        """Add a target, or replace the target of the same name.

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
        """Replace all targets.

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
        """Remove a target; an unknown name is ignored.

        Parameters
        ----------
        name : str
            Name of the target.
        """
        target = self._targets.pop(name, None)
        if target is None:
            return
        ring = self._rings[target.region]
        ring.remove(name)
        if not len(ring):
            del self._rings[target.region]

    def order(self, key: str, count: int) -> list[Target]:
        """Return the candidates for a request in the order to try them.

        Parameters
        ----------
        key : str
            The chat, or a random key for a request without a chat.
        count : int
            Maximum number of candidates.

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
