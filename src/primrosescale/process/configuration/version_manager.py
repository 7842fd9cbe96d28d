"""Keeps the version in force, pulls newer ones, and never goes back."""

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

PARALLEL_PULLS = 8
DROPPED_KEPT = 512


class SectionSource(ABC):
    """Somewhere sections can be pulled from."""

    @abstractmethod
    def fetch(self, digest: str) -> Deferred[bytes | None]:
        """Ask for a section.

        Parameters
        ----------
        digest : str
            Its name.

        Returns
        -------
        Deferred[bytes | None]
            Its bytes, not checked; None when it is not there.
        """


class SourceError(ProcessError):
    """No source had a section."""

    def __init__(self, digest: str) -> None:
        super().__init__(
            f"section {digest[:12]} is nowhere to be had",
            "it is asked for again with the next announcement",
        )


class VersionObserver(ABC):
    """Is told what becomes of versions."""

    @abstractmethod
    def adopted(self, view: VersionView) -> None:
        """Take in that a version is in force here.

        Parameters
        ----------
        view : VersionView
            The version.
        """

    @abstractmethod
    def head_refused(self, error: HeadError) -> None:
        """Take in that a head was not taken.

        Parameters
        ----------
        error : HeadError
            Why.
        """

    @abstractmethod
    def pull_failed(self, version: int, detail: str) -> None:
        """Take in that a version could not be pulled yet.

        Parameters
        ----------
        version : int
            Its number.
        detail : str
            Why.
        """


class VersionManager:
    """The versions of the configuration in one process.

    Parameters
    ----------
    check : HeadVerifier
        Decides which heads are taken.
    observer : VersionObserver
        Told what becomes of versions.
    needs_organisations : bool
        Whether this process pulls organisations too.
    """

    def __init__(
        self,
        check: HeadVerifier,
        observer: VersionObserver,
        *,
        needs_organisations: bool,
    ) -> None:
        self._check = check
        self._observer = observer
        self._needs_organisations = needs_organisations
        self._view: VersionView | None = None
        self._retired: list[VersionView] = []
        self._sections: dict[str, Section] = {}
        self._dropped: OrderedDict[str, Section] = OrderedDict()
        self._is_pulling = False
        self._wanted: VersionHead = NO_HEAD
        self._pulled_bytes = 0
        self._verified: VersionHead = NO_HEAD

    @property
    def view(self) -> VersionView | None:
        """Return the version in force."""
        return self._view

    @property
    def head(self) -> VersionHead:
        """Return the head of the version in force."""
        return NO_HEAD if self._view is None else self._view.head

    @property
    def version(self) -> int:
        """Return the number of the version in force; 0 for none."""
        return self.head.version

    @property
    def retired(self) -> int:
        """Return how many older versions requests still use."""
        self._retired = [view for view in self._retired if view.pins]
        return len(self._retired)

    @property
    def pulled_bytes(self) -> int:
        """Return the bytes of sections pulled so far."""
        return self._pulled_bytes

    def section(self, digest: str) -> Section | None:
        """Return a section for another process.

        Parameters
        ----------
        digest : str
            Its name.

        Returns
        -------
        Section | None
            The section, if a recent version has it.
        """
        return self._sections.get(digest) or self._dropped.get(digest)

    def pull_if_newer(self, head: VersionHead, source: SectionSource) -> Deferred[None]:
        """Take in an announcement and pull what it names, if it is newer.

        Parameters
        ----------
        head : VersionHead
            The head announced, by whomever.
        source : SectionSource
            Where its sections can be pulled from.

        Returns
        -------
        Deferred[None]
            When this announcement has been dealt with; never fails.
        """
        if not self._check.is_newer(head, self.head):
            return succeed(None)
        if head != self._verified:
            try:
                self._check.verify(head)
            except HeadError as error:
                self._observer.head_refused(error)
                return succeed(None)
            self._verified = head
        if self._check.is_newer(head, self._wanted):
            self._wanted = head
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
        """Pull the sections not held yet, check all of them, then switch."""
        gathered: dict[str, Section] = {}
        top = yield self._section(head.digest, source, gathered)
        root = Root.decode(top)
        if root.version != head.version:
            raise HeadError(head.version, f"its root is of version {root.version}")
        groups: list[GroupView] = []
        for branch in root.groups:
            if branch.label != SHARDED_KIND:
                group = yield self._group(branch, source, gathered)
                groups.append(group)
            elif self._needs_organisations:
                index = yield self._section(branch.digest, source, gathered)
                for part in decode_index(index):
                    group = yield self._group(part, source, gathered, is_deep=True)
                    groups.append(group)
        self._switch(VersionView(head, groups), gathered)

    @inlineCallbacks
    def _group(
        self,
        branch: Branch,
        source: SectionSource,
        gathered: dict[str, Section],
        *,
        is_deep: bool = False,
    ) -> Generator[Any, Any, GroupView]:
        """Return a group, as it is known if it has not changed."""
        old = None
        if self._view is not None:
            old = self._view.groups.get(branch.label)
        if old is not None and old.digest == branch.digest:
            for digest in (old.digest, *old.indexes, *old.leaves):
                gathered[digest] = self._sections[digest]
            return old
        section = yield self._section(branch.digest, source, gathered)
        digests = [part.digest for part in decode_index(section)]
        indexes: list[str] = []
        if is_deep:
            indexes = digests
            subgroups = yield self._gather(indexes, source, gathered)
            digests = [leaf.digest for sub in subgroups for leaf in decode_index(sub)]
        sections = yield self._gather(digests, source, gathered)
        known = {} if old is None else old.leaves
        leaves = {
            leaf.digest: known.get(leaf.digest) or _parse_leaf(leaf)
            for leaf in sections
        }
        return GroupView(branch.label, branch.digest, leaves, indexes)

    def _switch(self, view: VersionView, sections: dict[str, Section]) -> None:
        if not self._check.is_newer(view.head, self.head):
            return
        if self._view is not None and self._view.pins:
            self._retired.append(self._view)
        self._retired = [old for old in self._retired if old.pins]
        for digest in self._sections.keys() - sections.keys():
            self._dropped[digest] = self._sections[digest]
        while len(self._dropped) > DROPPED_KEPT:
            self._dropped.popitem(last=False)
        self._view = view
        self._sections = sections
        self._observer.adopted(view)

    @inlineCallbacks
    def _gather(
        self,
        digests: list[str],
        source: SectionSource,
        gathered: dict[str, Section],
    ) -> Generator[Any, Any, list[Section]]:
        """Return some sections; those not held are pulled a few at a time."""
        missing = [digest for digest in digests if self.section(digest) is None]
        if missing:
            limit = DeferredSemaphore(PARALLEL_PULLS)
            pulls = [limit.run(self._section, d, source, gathered) for d in missing]
            yield gatherResults(pulls, consumeErrors=True).addErrback(_first_error)
        found: list[Section] = []
        for digest in digests:
            section = gathered.get(digest) or self.section(digest)
            if section is None:
                raise SourceError(digest)
            gathered[digest] = section
            found.append(section)
        return found

    @inlineCallbacks
    def _section(
        self,
        digest: str,
        source: SectionSource,
        gathered: dict[str, Section],
    ) -> Generator[Any, Any, Section]:
        known = gathered.get(digest) or self.section(digest)
        if known is None:
            data = yield source.fetch(digest)
            if data is None:
                raise SourceError(digest)
            known = Section(digest, data)
            known.check()
            self._pulled_bytes += len(data)
        gathered[digest] = known
        return known


def _first_error(failure: Failure) -> Any:
    """Unwrap what `gatherResults` puts around the first error."""
    return getattr(failure.value, "subFailure", failure)


def _parse_leaf(section: Section) -> list[Record]:
    faults: list[Fault] = []
    parsed = [parse_record(text, faults) for text in decode_leaf(section)]
    if faults:
        raise SectionError(section.digest, str(faults[0]))
    return [record for record in parsed if record is not None]
