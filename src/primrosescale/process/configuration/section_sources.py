"""Sources of configuration sections: a peer process or the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred

from primrosescale.connection.wire import ttypes as wire
from primrosescale.process.configuration.version_manager import SectionSource
from primrosescale.process.exceptions import PlatformError

if TYPE_CHECKING:
    from primrosescale.connection.link import Link
    from primrosescale.process.transport.platform import Platform
    from primrosescale.process.transport.platform import StoredObject

SECTION_PREFIX = "config/sections/"


def section_key(digest: str) -> str:
    """Return the key under which the platform stores a section.

    Parameters
    ----------
    digest : str
        The section's digest.

    Returns
    -------
    str
        Object key.
    """
    return SECTION_PREFIX + digest


class PlatformSource(SectionSource):
    """Pulls sections from the platform's object store.

    Parameters
    ----------
    platform : Platform
        Client of the platform.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    def fetch(self, digest: str) -> Deferred[bytes | None]:
        """Request a section; see `SectionSource.fetch`."""
        found: Deferred[Any] = self._platform.get(section_key(digest))
        return found.addCallbacks(_value_of, _none_if_unreachable)


class LinkSource(SectionSource):
    """Pulls sections from the process at the other end of a connection.

    Concurrent requests for the same section share one message.

    Parameters
    ----------
    link : Link
        The connection.
    """

    def __init__(self, link: Link) -> None:
        self._link = link
        self._waiting: dict[str, list[Deferred[bytes | None]]] = {}

    def fetch(self, digest: str) -> Deferred[bytes | None]:
        """Request a section; see `SectionSource.fetch`."""
        result: Deferred[bytes | None] = Deferred()
        if self._link.is_lost:
            result.callback(None)
            return result
        waiting = self._waiting.setdefault(digest, [])
        waiting.append(result)
        if len(waiting) == 1:
            self._link.expect()
            self._link.send(wire.SectionRequest(digest))
        return result

    def reply(self, message: wire.SectionReply) -> None:
        """Complete the requests for the section that a reply carries.

        Parameters
        ----------
        message : wire.SectionReply
            The reply; one that was not requested is dropped.
        """
        waiting = self._waiting.pop(message.digest, [])
        if waiting:
            self._link.settle()
        for result in waiting:
            result.callback(message.data if message.found else None)

    def lost(self) -> None:
        """Complete all pending requests with None: the connection was lost."""
        waiting, self._waiting = self._waiting, {}
        for results in waiting.values():
            for result in results:
                result.callback(None)


class LinkSources:
    """Section sources of a process, one for each open connection."""

    def __init__(self) -> None:
        self._sources: dict[Link, LinkSource] = {}

    def of(self, link: Link) -> LinkSource:
        """Return the source of a connection, created on first use.

        Parameters
        ----------
        link : Link
            The connection.

        Returns
        -------
        LinkSource
            The same source for as long as the connection is open.
        """
        found = self._sources.get(link)
        if found is None:
            found = LinkSource(link)
            if not link.is_lost:
                self._sources[link] = found
        return found

    def lost(self, link: Link) -> None:
        """Remove the source of a lost connection and end its requests.

        Parameters
        ----------
        link : Link
            The connection.
        """
        found = self._sources.pop(link, None)
        if found is not None:
            found.lost()


def _value_of(found: StoredObject | None) -> bytes | None:
    return None if found is None else found.value


def _none_if_unreachable(failure: Any) -> bytes | None:
    failure.trap(PlatformError)
    return None
