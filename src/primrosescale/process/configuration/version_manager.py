"""Holds the version in force and replaces it by newer versions only.

An announced version is pulled section by section, verified and put in force as
a whole. A lower version number never replaces a higher one.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from collections import OrderedDict
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import DeferredSemaphore
from twisted.internet.defer import gatherResults
from twisted.internet.defer import inlineCallbacks
from twisted.internet.defer import succeed

from primrosescale.process.exceptions import ProcessError
from primrosescale.version.bundle import parse_record
from primrosescale.version.exceptions import HeadError
from primrosescale.version.exceptions import SectionError
from primrosescale.version.head import NO_HEAD
from primrosescale.version.records import SHARDED_KIND
from primrosescale.version.section import Root
from primrosescale.version.section import Section
from primrosescale.version.section import decode_index
from primrosescale.version.section import decode_leaf
from primrosescale.version.view import GroupView
from primrosescale.version.view import VersionView

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.internet.defer import Deferred
    from twisted.python.failure import Failure

    from primrosescale.ini.exceptions import Fault
    from primrosescale.version.head import HeadVerifier
    from primrosescale.version.head import VersionHead
    from primrosescale.version.records import Record
    from primrosescale.version.section import Branch

MAX_PARALLEL_PULLS = 8
MAX_RECENT_SECTIONS = 512


class SectionSource(ABC):
    """Source from which sections can be pulled."""

    @abstractmethod
    def fetch(self, digest: str) -> Deferred[bytes | None]:
        """Request a section.

        Parameters
        ----------
        digest : str
            The section's digest.

        Returns
        -------
        Deferred[bytes | None]
            Its bytes, not verified; None when the source does not have it.
        """


class SourceError(ProcessError):
    """The source did not return a section."""

    def __init__(self, digest: str) -> None:
        super().__init__(
            f"section {digest[:12]} was not returned by its source",
            "it is requested again at the next announcement",
        )


class VersionObserver(ABC):
    """Receives the outcomes of version announcements."""

    @abstractmethod
    def adopted(self, view: VersionView) -> None:
        """Handle a version that was put in force in this process.

        Parameters
        ----------
        view : VersionView
            The version now in force.
        """

    @abstractmethod
    def head_refused(self, error: HeadError) -> None:
        """Handle an announced head that failed verification.

        Parameters
        ----------
        error : HeadError
            The reason.
        """

    @abstractmethod
    def pull_failed(self, version: int, detail: str) -> None:
        """Handle a version that could not be pulled yet.

        Parameters
        ----------
        version : int
            The version's number.
        detail : str
            The reason.
        """


class VersionManager:
    """Pulls versions of the configuration and keeps one in force in a process.

    Sections of replaced versions are retained up to a limit, so that other
    processes can still pull them from here.

    Parameters
    ----------
    check : HeadVerifier
        Verifies announced heads and decides which of two is newer.
    observer : VersionObserver
        Notified of adopted, refused and failed versions.
    needs_organisations : bool
        Whether this process pulls the records of organisations too.
    """

    def __init__(
        self,
        check: HeadVerifier,
        observer: VersionObserver,
        *,
        needs_organisations: bool,
    ) -> None:
        self._verifier = check
        self._observer = observer
        self._needs_organisations = needs_organisations
        self._view: VersionView | None = None
        self._retired: list[VersionView] = []
        self._sections: dict[str, Section] = {}
        self._recent_sections: OrderedDict[str, Section] = OrderedDict()
        self._is_pulling = False
        self._newest_announced: VersionHead = NO_HEAD
        self._pulled_bytes = 0
        self._verified_head: VersionHead = NO_HEAD

    @property
    def view(self) -> VersionView | None:
        """Return the version in force; None before the first one."""
        return self._view

    @property
    def head(self) -> VersionHead:
        """Return the head of the version in force; `NO_HEAD` for none."""
        return NO_HEAD if self._view is None else self._view.head

    @property
    def version(self) -> int:
        """Return the number of the version in force; 0 for none."""
        return self.head.version

    @property
    def retired_count(self) -> int:
        """Return how many replaced versions are still pinned by requests."""
        self._retired = [view for view in self._retired if view.pins]
        return len(self._retired)

    @property
    def pulled_bytes(self) -> int:
        """Return the total bytes of sections pulled since the start."""
        return self._pulled_bytes

    def section(self, digest: str) -> Section | None:
        """Return a section held here, such as one that another process requests.

        Parameters
        ----------
        digest : str
            The section's digest.

        Returns
        -------
        Section | None
            The section, if the version in force or a recent one contains it.
        """
        return self._sections.get(digest) or self._recent_sections.get(digest)

    def pull_if_newer(self, head: VersionHead, source: SectionSource) -> Deferred[None]:
        """Pull an announced version if it is newer than the one in force.

        The announcer need not be trusted, because the head's signature is
        verified. While a pull runs, no second one is started.

        Parameters
        ----------
        head : VersionHead
            The announced head.
        source : SectionSource
            Source of the version's sections.

        Returns
        -------
        Deferred[None]
            Fires when the announcement has been processed. Refused heads and failed
            pulls are reported to the observer and do not make it fail.
        """
        if not self._verifier.is_newer(head, self.head):
            return succeed(None)
        if head != self._verified_head:
            try:
                self._verifier.verify(head)
            except HeadError as error:
                self._observer.head_refused(error)
                return succeed(None)
            self._verified_head = head
        if self._verifier.is_newer(head, self._newest_announced):
            self._newest_announced = head
        if self._is_pulling:
            return succeed(None)
        self._is_pulling = True
        pulling: Deferred[None] = self._pull(head, source)
        pulling.addErrback(self._pull_failed, head)
        return pulling.addBoth(self._pull_ended)

    def _pull_failed(self, failure: Failure, head: VersionHead) -> None:
        failure.trap(SectionError, SourceError, HeadError)
        self._observer.pull_failed(head.version, failure.getErrorMessage())

    def _pull_ended(self, result: Any) -> Any:
        self._is_pulling = False
        return result

    @inlineCallbacks
    def _pull(
        self,
        head: VersionHead,
        source: SectionSource,
    ) -> Generator[Any, Any, None]:
        """Pull the missing sections, verify them and put the version in force."""
        collected: dict[str, Section] = {}
        root_section = yield self._pull_section(head.digest, source, collected)
        root = Root.decode(root_section)
        if root.version != head.version:
            raise HeadError(
                head.version, f"its root section has version {root.version}"
            )
        groups: list[GroupView] = []
        for branch in root.groups:
            if branch.label != SHARDED_KIND:
                group = yield self._pull_group(branch, source, collected)
                groups.append(group)
            elif self._needs_organisations:
                index = yield self._pull_section(branch.digest, source, collected)
                for part in decode_index(index):
                    group = yield self._pull_group(
                        part, source, collected, is_deep=True
                    )
                    groups.append(group)
        self._activate(VersionView(head, groups), collected)

    @inlineCallbacks
    def _pull_group(
        self,
        branch: Branch,
        source: SectionSource,
        collected: dict[str, Section],
        *,
        is_deep: bool = False,
    ) -> Generator[Any, Any, GroupView]:
        """Return a group; an unchanged one is reused from the version in force."""
        old = None
        if self._view is not None:
            old = self._view.groups.get(branch.label)
        if old is not None and old.digest == branch.digest:
            for digest in (old.digest, *old.indexes, *old.leaves):
                collected[digest] = self._sections[digest]
            return old
        section = yield self._pull_section(branch.digest, source, collected)
        digests = [part.digest for part in decode_index(section)]
        indexes: list[str] = []
        if is_deep:
            indexes = digests
            subgroups = yield self._pull_sections(indexes, source, collected)
            digests = [leaf.digest for sub in subgroups for leaf in decode_index(sub)]
        sections = yield self._pull_sections(digests, source, collected)
        known = {} if old is None else old.leaves
        leaves = {
            leaf.digest: known.get(leaf.digest) or _parse_leaf(leaf)
            for leaf in sections
        }
        return GroupView(branch.label, branch.digest, leaves, indexes)

    def _activate(self, view: VersionView, sections: dict[str, Section]) -> None:
        if not self._verifier.is_newer(view.head, self.head):
            return
        if self._view is not None and self._view.pins:
            self._retired.append(self._view)
        self._retired = [old for old in self._retired if old.pins]
        for digest in self._sections.keys() - sections.keys():
            self._recent_sections[digest] = self._sections[digest]
        while len(self._recent_sections) > MAX_RECENT_SECTIONS:
            self._recent_sections.popitem(last=False)
        self._view = view
        self._sections = sections
        self._observer.adopted(view)

    @inlineCallbacks
    def _pull_sections(
        self,
        digests: list[str],
        source: SectionSource,
        collected: dict[str, Section],
    ) -> Generator[Any, Any, list[Section]]:
        """Return sections in order; missing ones are pulled, a few at a time."""
        missing = [digest for digest in digests if self.section(digest) is None]
        if missing:
            limit = DeferredSemaphore(MAX_PARALLEL_PULLS)
            pulls = [
                limit.run(self._pull_section, d, source, collected) for d in missing
            ]
            yield gatherResults(pulls, consumeErrors=True).addErrback(
                _unwrap_first_error
            )
        found: list[Section] = []
        for digest in digests:
            section = collected.get(digest) or self.section(digest)
            if section is None:
                raise SourceError(digest)
            collected[digest] = section
            found.append(section)
        return found

    @inlineCallbacks
    def _pull_section(
        self,
        digest: str,
        source: SectionSource,
        collected: dict[str, Section],
    ) -> Generator[Any, Any, Section]:
        known = collected.get(digest) or self.section(digest)
        if known is None:
            data = yield source.fetch(digest)
            if data is None:
                raise SourceError(digest)
            known = Section(digest, data)
            known.check()
            self._pulled_bytes += len(data)
        collected[digest] = known
        return known


def _unwrap_first_error(failure: Failure) -> Any:
    """Return the first failure from the wrapper that `gatherResults` raises."""
    return getattr(failure.value, "subFailure", failure)


def _parse_leaf(section: Section) -> list[Record]:
    faults: list[Fault] = []
    parsed = [parse_record(text, faults) for text in decode_leaf(section)]
    if faults:
        raise SectionError(section.digest, str(faults[0]))
    return [record for record in parsed if record is not None]
