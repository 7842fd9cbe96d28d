"""Where a process pulls sections from: another process, or the platform."""

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
    """Return the platform's name for a section.

    Parameters
    ----------
    digest : str
        The section's own name.

    Returns
    -------
    str
        Key of an object.
    """
    return SECTION_PREFIX + digest


class PlatformSource(SectionSource):
    """Pulls sections from the platform.

    Parameters
    ----------
    platform : Platform
        The platform's service.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    def fetch(self, digest: str) -> Deferred[bytes | None]:
        """Ask for a section; see `SectionSource.fetch`."""
        found: Deferred[Any] = self._platform.get(section_key(digest))
        return found.addCallbacks(_value_of, _nothing)


class LinkSource(SectionSource):
    """Pulls sections from the process at the other end of a connection.

    Parameters
    ----------
    link : Link
        The connection.
    """

    def __init__(self, link: Link) -> None:
        self._link = link
        self._waiting: dict[str, list[Deferred[bytes | None]]] = {}

    def fetch(self, digest: str) -> Deferred[bytes | None]:
        """Ask for a section; see `SectionSource.fetch`."""
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
        """Take in an answer.

        Parameters
        ----------
        message : wire.SectionReply
            The answer; one that was not asked for is dropped.
        """
        waiting = self._waiting.pop(message.digest, [])
        if waiting:
            self._link.settle()
        for result in waiting:
            result.callback(message.data if message.found else None)

    def lost(self) -> None:
        """Take in that the connection has ended."""
        waiting, self._waiting = self._waiting, {}
        for results in waiting.values():
            for result in results:
                result.callback(None)


class LinkSources:
    """The sources of all connections of a process."""

    def __init__(self) -> None:
        self._sources: dict[Link, LinkSource] = {}

    def of(self, link: Link) -> LinkSource:
        """Return the source of a connection, always the same one.

        Parameters
        ----------
        link : Link
            The connection.

        Returns
        -------
        LinkSource
            Its source.
        """
        found = self._sources.get(link)
        if found is None:
            found = LinkSource(link)
            if not link.is_lost:
                self._sources[link] = found
        return found

    def lost(self, link: Link) -> None:
        """Take in that a connection has ended.

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


def _nothing(failure: Any) -> bytes | None:
    failure.trap(PlatformError)
    return None
