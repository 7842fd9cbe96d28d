"""Keeps the ends of targets because of which requests are held back.

A request that ends the targets that run it would reach as many of them again after all
routers ended. Few routers keep these ends, and report them to the others as always.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from primrosescale.checked_values import MAX_INT32
from primrosescale.checked_values import MAX_INT64
from primrosescale.checked_values import MAX_SAFE_INTEGER
from primrosescale.checked_values import checked_integer
from primrosescale.checked_values import checked_integer_text
from primrosescale.process.entry.load_codec import MILLISECONDS_PER_SECOND
from primrosescale.process.entry.router_archive import ArchiveSection
from primrosescale.request.harm.harm_reports import TargetEnd
from primrosescale.request.harm.harmful_parts import MAX_REPORTED_PARTS

if TYPE_CHECKING:
    from collections.abc import Callable

    from primrosescale.process.entry.harm_report_exchange import HarmReportExchange

# At 0.2 kB each.
MAX_KEPT_ENDS = 2000


class HarmSection(ArchiveSection):
    """The ends of targets for which requests are held back here.

    Parameters
    ----------
    reports : HarmReportExchange
        Knows them.
    is_keeper : Callable[[float], bool]
        Returns whether this router keeps them for all.
    """

    __slots__ = ("_is_keeper", "_pending", "_reports", "_seen", "_written")

    def __init__(
        self, reports: HarmReportExchange, is_keeper: Callable[[float], bool]
    ) -> None:
        self._reports = reports
        self._is_keeper = is_keeper
        # The ends that are being written, and that were.
        self._pending: frozenset[TargetEnd] = frozenset()
        self._written: frozenset[TargetEnd] = frozenset()
        # Number of the last report after which nothing had to be written.
        self._seen = 0

    @property
    def name(self) -> str:
        """Return its name in the object."""
        return "ends"

    def has_changed(self, now: float) -> bool:
        """Return whether there are other ends; see `ArchiveSection.has_changed`."""
        reports = self._reports
        if reports.changes == self._seen or not self._is_keeper(now):
            return False
        if self._written == frozenset(reports.held_ends(now)):
            self._seen = reports.changes
            return False
        return True

    def content(self, now: float) -> Any:
        """Return the ends; see `ArchiveSection.content`."""
        ends = self._reports.held_ends(now)
        self._pending = frozenset(ends)
        return [_fields(end, now) for end in ends[:MAX_KEPT_ENDS]]

    def written(self) -> None:
        """Record that they are in the store; see `ArchiveSection.written`."""
        self._written = self._pending

    def restore(self, content: Any, age: float, now: float) -> int:
        """Count the ends again; see `ArchiveSection.restore`."""
        try:
            ends = [_end(fields, now - age) for fields in content]
        except (TypeError, KeyError, AttributeError) as error:
            raise ValueError(f"malformed ends of targets: {error!r}") from error
        self._reports.restore(ends, now)
        self._written = frozenset(ends)
        return len(ends)


def _fields(end: TargetEnd, now: float) -> dict[str, Any]:
    # Numbers of 64 bits are written as text, since JSON numbers may be less exact.
    return {
        "fingerprint": str(end.fingerprint),
        "target": str(end.target),
        "age_ms": round(max(0.0, now - end.at) * MILLISECONDS_PER_SECOND),
        "was_answered": end.was_answered,
        "parts": [str(part) for part in end.parts],
        "is_late": end.is_late,
    }


def _end(fields: dict[str, Any], written_at: float) -> TargetEnd:
    parts, was_answered = fields["parts"], fields["was_answered"]
    # Routers of an older release do not write it.
    is_late = fields.get("is_late", False)
    if not isinstance(parts, list):
        raise TypeError("parts are no list")
    if not isinstance(was_answered, bool) or not isinstance(is_late, bool):
        raise TypeError("was_answered or is_late is no truth value")
    age_ms = checked_integer(fields["age_ms"], 0, MAX_SAFE_INTEGER)
    return TargetEnd(
        _identifier(fields["fingerprint"], MAX_INT64),
        _identifier(fields["target"], MAX_INT32),
        written_at - age_ms / MILLISECONDS_PER_SECOND,
        was_answered,
        tuple(_identifier(part, MAX_INT64) for part in parts[:MAX_REPORTED_PARTS]),
        is_late,
    )


def _identifier(text: Any, maximum: int) -> int:
    return checked_integer_text(text, -maximum - 1, maximum)
