"""Keeps in the store what routers know and would lose if all of them ended at once.

Routers tell each other what they have to remember, so that it survives the end of any
of them, but not that of all. Each router writes what it has to keep to an object of its
own, and reads that object when it starts. Nothing is written while there is nothing to
keep. A large fleet writes less often, so that all routers together take a limited part
of the store's rate.
"""

from __future__ import annotations

import json
import math
import time
from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import inlineCallbacks

from primrosescale.checked_values import MAX_SAFE_INTEGER
from primrosescale.checked_values import checked_integer
from primrosescale.process.entry.load_codec import MILLISECONDS_PER_SECOND
from primrosescale.process.events import Event
from primrosescale.process.exceptions import PlatformConflictError
from primrosescale.process.exceptions import PlatformError
from primrosescale.process.transport.platform import MUST_NOT_EXIST

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Generator
    from collections.abc import Sequence

    from primrosescale.process.entry.entry_dependencies import EntryDependencies
    from primrosescale.process.entry.entry_settings import EntrySettings
    from primrosescale.process.entry.stream_origin_exchange import Messages

# Streams last some seconds, and those begun since the last write may be lost.
MIN_WRITE_INTERVAL_SECONDS = 0.5
# Limit for all routers together; the store takes several hundred.
MAX_WRITES_PER_SECOND = 100.0
RETRY_SECONDS = 0.5
# A caller takes its stream up within this time or not at all.
MAX_READ_SECONDS = 20.0
# What a host wrote before it was away for longer says nothing of the present.
MAX_AGE_SECONDS = 600.0


class ArchiveSection(ABC):
    """One kind of what a router keeps, under a name of its own."""

    @property
    @abstractmethod
    def name(self) -> str:
        """Return its name in the object."""

    @abstractmethod
    def has_changed(self, now: float) -> bool:
        """Return whether the object has to be written because of it.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            False also while there is nothing to keep.
        """

    @abstractmethod
    def content(self, now: float) -> Any:
        """Return what is to be kept.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        Any
            A value that can be written as JSON.
        """

    @abstractmethod
    def written(self) -> None:
        """Record that the last content is in the store."""

    @abstractmethod
    def restore(self, content: Any, age: float, now: float) -> int:
        """Apply what a former process has kept.

        Parameters
        ----------
        content : Any
            The value.
        age : float
            Seconds since it was written.
        now : float
            Present time in seconds.

        Returns
        -------
        int
            Number of items that were applied.

        Raises
        ------
        ValueError
            When it is malformed; nothing of it has been applied then.
        """

    def messages(self, now: float) -> Messages:
        """Return what is to be sent to other routers after it was restored.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        Messages
            The messages; none by default.
        """
        return []


class RouterArchive:
    """Writes the sections of one router to the store, and reads them when it starts.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the router.
    sections : Sequence[ArchiveSection]
        What is kept.
    routers : Callable[[], int]
        Returns how many routers share the store.
    parts : EntryDependencies
        Collaborators of the router.
    time_of_day : Callable[[], float]
        Returns the Unix time in seconds. It may differ between processes by seconds.
    """

    __slots__ = (
        "_has_read",
        "_is_busy",
        "_key",
        "_log",
        "_next_at",
        "_platform",
        "_read_until",
        "_revision",
        "_routers",
        "_sections",
        "_time_of_day",
    )

    def __init__(
        self,
        settings: EntrySettings,
        sections: Sequence[ArchiveSection],
        routers: Callable[[], int],
        parts: EntryDependencies,
        time_of_day: Callable[[], float] = time.time,
    ) -> None:
        self._key = settings.archive and settings.archive + settings.name
        self._sections = sections
        self._routers = routers
        self._platform = parts.platform
        self._log = parts.log
        self._time_of_day = time_of_day
        self._is_busy = False
        self._has_read = settings.is_first_start
        self._read_until = math.inf
        self._next_at = -math.inf
        self._revision = MUST_NOT_EXIST

    def refresh(self, now: float) -> Messages:
        """Read or write the object if that is due; called several times a second.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        Messages
            What is to be sent to other routers.
        """
        if self._key and not self._is_busy and now >= self._next_at:
            if not self._has_read:
                self._read(now)
            elif any(section.has_changed(now) for section in self._sections):
                self._write(now)
        return [item for section in self._sections for item in section.messages(now)]

    def _interval(self) -> float:
        return max(MIN_WRITE_INTERVAL_SECONDS, self._routers() / MAX_WRITES_PER_SECOND)

    @inlineCallbacks
    def _read(self, now: float) -> Generator[Any, Any, None]:
        """Read what the former process wrote; give up after some time."""
        self._is_busy = True
        self._next_at = now + RETRY_SECONDS
        self._read_until = min(self._read_until, now + MAX_READ_SECONDS)
        try:
            stored = yield self._platform.get(self._key)
        except PlatformError:
            # The watch of the configuration logs outages.
            self._has_read = now >= self._read_until
        else:
            self._has_read = True
            if stored is not None:
                self._revision = stored.version
                self._restore(stored.value, now)
        finally:
            self._is_busy = False

    def _restore(self, value: bytes, now: float) -> None:
        try:
            fields = json.loads(value)
            written_at_ms = checked_integer(
                fields["written_at_ms"], 0, MAX_SAFE_INTEGER
            )
            contents = dict(fields["sections"])
        except (ValueError, TypeError, KeyError, RecursionError) as error:
            self._log.emit(Event.ARCHIVE_UNREADABLE, section="", detail=repr(error))
            return
        written_at = written_at_ms / MILLISECONDS_PER_SECOND
        age = max(0.0, self._time_of_day() - written_at)
        if age > MAX_AGE_SECONDS:
            return
        for section in self._sections:
            if section.name not in contents:
                continue
            try:
                count = section.restore(contents[section.name], age, now)
            except ValueError as error:
                self._log.emit(
                    Event.ARCHIVE_UNREADABLE, section=section.name, detail=str(error)
                )
            else:
                self._log.emit(
                    Event.ARCHIVE_RESTORED,
                    section=section.name,
                    items=count,
                    age=round(age, 1),
                )

    @inlineCallbacks
    def _write(self, now: float) -> Generator[Any, Any, None]:
        self._is_busy = True
        self._next_at = now + self._interval()
        fields = {
            "written_at_ms": round(self._time_of_day() * MILLISECONDS_PER_SECOND),
            "sections": {each.name: each.content(now) for each in self._sections},
        }
        try:
            self._revision = yield self._platform.put(
                self._key, json.dumps(fields).encode(), self._revision
            )
            for section in self._sections:
                section.written()
        except PlatformConflictError as conflict:
            # Written by a former process, or by a call whose answer was lost.
            self._revision = conflict.current
        except PlatformError:
            self._next_at = max(self._next_at, now + RETRY_SECONDS)
        finally:
            self._is_busy = False
