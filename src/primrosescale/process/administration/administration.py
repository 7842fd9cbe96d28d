"""Creates, signs off, rolls out and reverts bundles stored at the platform."""

from __future__ import annotations

import json
import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.defer import inlineCallbacks

from primrosescale.process.configuration.section_sources import section_key
from primrosescale.process.daemons.router_control import HEAD_KEY
from primrosescale.process.exceptions import PlatformAnswerLostError
from primrosescale.process.exceptions import PlatformConflictError
from primrosescale.process.exceptions import PlatformError
from primrosescale.process.exceptions import PlatformUnavailableError
from primrosescale.process.transport.platform import MUST_NOT_EXIST
from primrosescale.version.bundle import Bundle
from primrosescale.version.diff import changed_records
from primrosescale.version.diff import diff_text
from primrosescale.version.exceptions import ConflictError
from primrosescale.version.exceptions import NotAllowedError
from primrosescale.version.exceptions import NotFoundError
from primrosescale.version.head import NO_HEAD
from primrosescale.version.head import VersionHead
from primrosescale.version.records import ANY_TEAM
from primrosescale.version.records import SHARDED_KIND
from primrosescale.version.section import Root
from primrosescale.version.section import Section
from primrosescale.version.section import build_tree
from primrosescale.version.section import decode_index
from primrosescale.version.section import decode_leaf

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Generator

    from primrosescale.clock import Clock
    from primrosescale.process.configuration.version_manager import VersionManager
    from primrosescale.process.transport.platform import Platform
    from primrosescale.version.head import HeadVerifier
    from primrosescale.version.records import OperatorRecord

SIGN_OFF_PREFIX = "config/sign-offs/"
AUDIT_PREFIX = "config/audit/"
AUTHOR = "author"
APPROVER = "approver"
OPERATOR = "operator"
READER = "reader"
MILLISECONDS_PER_SECOND = 1000
MAX_WRITE_ATTEMPTS = 40
WRITE_RETRY_SECONDS = 0.25
MAX_HISTORY = 50


@dataclass(frozen=True, slots=True)
class StoredHead:
    """The head as stored at the platform.

    Parameters
    ----------
    head : VersionHead
        The head; `NO_HEAD` before the first roll-out.
    object_version : int
        Version of the platform's object, for conditional updates.
    """

    head: VersionHead
    object_version: int


@dataclass(frozen=True, slots=True)
class BundleInfo:
    """Summary of one configuration version, accepted or not.

    Parameters
    ----------
    digest : str
        Digest that identifies the version.
    root : Root
        Version number, author, creation time and base.
    approver : str
        Operator who signed it off; empty when it is not signed off.
    """

    digest: str
    root: Root
    approver: str


class Administration:
    """Operations that operators perform on the configuration.

    Parameters
    ----------
    platform : Platform
        Object store for sections, sign-offs, the head and the audit trail.
    version_manager : VersionManager
        Holds sections in memory, so that these are not read from the platform.
    check : HeadVerifier
        Verifies signatures of trusted approvers.
    clock : Clock
        Source of timers.
    wall_clock : Callable[[], float]
        Returns seconds since 1970.
    """

    def __init__(
        self,
        platform: Platform,
        version_manager: VersionManager,
        check: HeadVerifier,
        clock: Clock,
        wall_clock: Callable[[], float],
    ) -> None:
        self._platform = platform
        self._version_manager = version_manager
        self._verifier = check
        self._clock = clock
        self._wall_clock = wall_clock

    @inlineCallbacks
    def head(self) -> Generator[Any, Any, StoredHead]:
        """Read the head.

        Returns
        -------
        Deferred[StoredHead]
            The current head.
        """
        found = yield self._platform.get(HEAD_KEY)
        if found is None:
            return StoredHead(NO_HEAD, MUST_NOT_EXIST)
        return StoredHead(VersionHead.decode(found.value), found.version)

    @inlineCallbacks
    def create(
        self,
        bundle: Bundle,
        operator: OperatorRecord,
        expected_base: str | None,
    ) -> Generator[Any, Any, BundleInfo]:
        """Store a bundle as the version after the current one.

        Storing the same bundle again yields the same version, so a retry
        after a lost answer is safe.

        Parameters
        ----------
        bundle : Bundle
            A valid bundle.
        operator : OperatorRecord
            Author of the bundle.
        expected_base : str | None
            Digest that the head must have; None to accept any.

        Returns
        -------
        Deferred[BundleInfo]
            The new version; fails with `ConflictError` or `NotAllowedError`.
        """
        require_role(operator, AUTHOR)
        stored = yield self.head()
        head = stored.head
        if expected_base is not None and expected_base != head.digest:
            raise ConflictError(_describe_head(head))
        before = Bundle({})
        if head.version:
            before = yield self.load(head.digest)
        _require_teams(operator, before, bundle)
        created_ms = yield self._created_ms(bundle, head, operator)
        tree = build_tree(
            bundle,
            head.version + 1,
            head.digest,
            operator.name,
            created_ms,
        )
        for section in tree.sections.values():
            if self._version_manager.section(section.digest) is None:
                yield self._create_object(section_key(section.digest), section.data)
        yield self._write_audit_entry(operator.name, "create", tree.digest)
        return BundleInfo(tree.digest, tree.root, "")

    @inlineCallbacks
    def sign(
        self,
        digest: str,
        operator: OperatorRecord,
        signature: bytes,
    ) -> Generator[Any, Any, BundleInfo]:
        """Store an approver's sign-off of a version.

        Parameters
        ----------
        digest : str
            The version.
        operator : OperatorRecord
            Approver, whose key made the signature.
        signature : bytes
            Ed25519 signature of the digest.

        Returns
        -------
        Deferred[BundleInfo]
            The version; fails with `NotAllowedError`, `HeadError` or
            `NotFoundError`.
        """
        require_role(operator, APPROVER)
        root = yield self.root(digest)
        if root.author == operator.name:
            raise NotAllowedError("nobody approves a bundle of their own")
        head = VersionHead(root.version, digest, operator.name, signature)
        self._verifier.verify(head)
        yield self._create_object(SIGN_OFF_PREFIX + digest, head.encode())
        yield self._write_audit_entry(operator.name, "sign", digest)
        return BundleInfo(digest, root, operator.name)

    @inlineCallbacks
    def roll_out(
        self,
        digest: str,
        operator: OperatorRecord,
    ) -> Generator[Any, Any, BundleInfo]:
        """Make a signed-off version the head, which puts it in force.

        Parameters
        ----------
        digest : str
            The version.
        operator : OperatorRecord
            Operator who rolls it out.

        Returns
        -------
        Deferred[BundleInfo]
            The version; fails with `ConflictError`, `NotAllowedError` or
            `NotFoundError`.
        """
        require_role(operator, OPERATOR)
        root = yield self.root(digest)
        signed = yield self._platform.get(SIGN_OFF_PREFIX + digest)
        if signed is None:
            raise NotAllowedError(f"bundle {digest[:12]} is not signed off")
        head = VersionHead.decode(signed.value)
        self._verifier.verify(head)
        stored = yield self.head()
        if stored.head.digest == digest:
            return BundleInfo(digest, root, head.approver)
        if stored.head.digest != root.base:
            raise ConflictError(_describe_head(stored.head))
        yield self._put_head(head, stored.object_version)
        yield self._write_audit_entry(operator.name, "roll-out", digest)
        return BundleInfo(digest, root, head.approver)

    @inlineCallbacks
    def load(self, digest: str) -> Generator[Any, Any, Bundle]:
        """Read a version's records.

        Parameters
        ----------
        digest : str
            The version.

        Returns
        -------
        Deferred[Bundle]
            Its records in their written form.
        """
        root = yield self.root(digest)
        records = {}
        for branch in root.groups:
            levels = 3 if branch.label == SHARDED_KIND else 1
            leaves = yield self._leaves(branch.digest, levels)
            for leaf in leaves:
                records.update({text.name: text for text in decode_leaf(leaf)})
        return Bundle(records)

    @inlineCallbacks
    def _leaves(self, digest: str, levels: int) -> Generator[Any, Any, list[Section]]:
        """Return the leaf sections a number of levels below a section."""
        section = yield self._section(digest)
        if not levels:
            return [section]
        found: list[Section] = []
        for branch in decode_index(section):
            part = yield self._leaves(branch.digest, levels - 1)
            found.extend(part)
        return found

    @inlineCallbacks
    def root(self, digest: str) -> Generator[Any, Any, Root]:
        """Read the root section of a version.

        Parameters
        ----------
        digest : str
            The version.

        Returns
        -------
        Deferred[Root]
            Version number, author, creation time and base; fails with
            `NotFoundError`.
        """
        section = yield self._section(digest)
        return Root.decode(section)

    @inlineCallbacks
    def history(self, limit: int) -> Generator[Any, Any, list[BundleInfo]]:
        """Return the accepted versions, newest first.

        Parameters
        ----------
        limit : int
            Maximum number to return; at most `MAX_HISTORY`.

        Returns
        -------
        Deferred[list[BundleInfo]]
            The versions.
        """
        stored = yield self.head()
        digest = stored.head.digest
        found: list[BundleInfo] = []
        while digest and len(found) < min(limit, MAX_HISTORY):
            root = yield self.root(digest)
            signed = yield self._platform.get(SIGN_OFF_PREFIX + digest)
            approver = ""
            if signed is not None:
                approver = VersionHead.decode(signed.value).approver
            found.append(BundleInfo(digest, root, approver))
            digest = root.base
        return found

    @inlineCallbacks
    def find(self, name: str) -> Generator[Any, Any, str]:
        """Resolve a digest, a version number or ``head`` to a digest.

        Parameters
        ----------
        name : str
            Name of the version as the operator wrote it.

        Returns
        -------
        Deferred[str]
            The digest; fails with `NotFoundError`.
        """
        if not name.isdigit() and name != "head":
            return name
        known = yield self.history(MAX_HISTORY)
        if name == "head" and known:
            return str(known[0].digest)
        for info in known:
            if str(info.root.version) == name:
                return str(info.digest)
        raise NotFoundError(name)

    @inlineCallbacks
    def diff(self, old: str, new: str) -> Generator[Any, Any, str]:
        """Return the differences between two versions as readable text.

        Parameters
        ----------
        old : str
            Digest of the earlier version; empty for no records.
        new : str
            Digest of the later version.

        Returns
        -------
        Deferred[str]
            One line for each option that differs.
        """
        before = Bundle({})
        if old:
            before = yield self.load(old)
        after = yield self.load(new)
        return diff_text(before, after)

    @inlineCallbacks
    def revert_to(
        self,
        name: str,
        operator: OperatorRecord,
    ) -> Generator[Any, Any, BundleInfo]:
        """Store a new version with the records of an earlier one.

        Parameters
        ----------
        name : str
            Name of the earlier version, as `find` resolves it.
        operator : OperatorRecord
            Author of the new version.

        Returns
        -------
        Deferred[BundleInfo]
            The new version, to be signed off and rolled out.
        """
        digest = yield self.find(name)
        bundle = yield self.load(digest)
        created: BundleInfo = yield self.create(bundle, operator, None)
        return created

    @inlineCallbacks
    def audit(self, limit: int) -> Generator[Any, Any, list[dict[str, Any]]]:
        """Return the most recent entries of the audit trail.

        Parameters
        ----------
        limit : int
            Maximum number to return.

        Returns
        -------
        Deferred[list[dict[str, Any]]]
            The entries, oldest first.
        """
        found = yield self._platform.list(AUDIT_PREFIX, "", MAX_HISTORY * 20)
        return [json.loads(item.value) for item in found[-limit:]]

    @inlineCallbacks
    def _created_ms(
        self,
        bundle: Bundle,
        head: VersionHead,
        operator: OperatorRecord,
    ) -> Generator[Any, Any, int]:
        """Return a bundle's creation time; a retry gets the stored one."""
        draft = build_tree(bundle, head.version + 1, head.digest, operator.name, 0)
        key = f"config/drafts/{draft.digest}"
        now_ms = int(self._wall_clock() * MILLISECONDS_PER_SECOND)
        found = yield self._platform.get(key)
        if found is not None:
            return int(found.value)
        yield self._create_object(key, str(now_ms).encode())
        stored = yield self._platform.get(key)
        return now_ms if stored is None else int(stored.value)

    @inlineCallbacks
    def _section(self, digest: str) -> Generator[Any, Any, Section]:
        known = self._version_manager.section(digest)
        if known is not None:
            return known
        found = yield self._platform.get(section_key(digest))
        if found is None:
            raise NotFoundError(digest[:12])
        section = Section(digest, found.value)
        section.check()
        return section

    @inlineCallbacks
    def _create_object(self, key: str, value: bytes) -> Generator[Any, Any, None]:
        """Create an object unless it exists; retry while the platform fails."""
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                yield self._platform.put(key, value, MUST_NOT_EXIST)
            except PlatformConflictError:
                return
            except (PlatformUnavailableError, PlatformAnswerLostError):
                yield self._wait_before_retry()
                continue
            return
        raise PlatformUnavailableError("too many tries")

    @inlineCallbacks
    def _put_head(
        self,
        head: VersionHead,
        expected: int,
    ) -> Generator[Any, Any, None]:
        """Update the head; after a lost answer or conflict, check the stored head."""
        try:
            yield self._platform.put(HEAD_KEY, head.encode(), expected)
        except (PlatformConflictError, PlatformAnswerLostError):
            stored = yield self.head()
            if stored.head.digest == head.digest:
                return
            if stored.object_version == expected:
                raise
            raise ConflictError(_describe_head(stored.head)) from None

    @inlineCallbacks
    def _write_audit_entry(
        self, who: str, act: str, digest: str
    ) -> Generator[Any, Any, None]:
        now_ms = int(self._wall_clock() * MILLISECONDS_PER_SECOND)
        entry = {"at_ms": now_ms, "who": who, "act": act, "digest": digest}
        key = f"{AUDIT_PREFIX}{now_ms:015d}-{secrets.token_hex(4)}"
        try:
            yield self._platform.put(key, json.dumps(entry).encode(), MUST_NOT_EXIST)
        except PlatformError:
            yield self._create_object(key, json.dumps(entry).encode())

    def _wait_before_retry(self) -> Deferred[None]:
        result: Deferred[None] = Deferred()
        self._clock.callLater(WRITE_RETRY_SECONDS, result.callback, None)
        return result


def require_role(operator: OperatorRecord, role: str) -> None:
    """Check that an operator holds a role.

    Parameters
    ----------
    operator : OperatorRecord
        The operator.
    role : str
        The role.

    Raises
    ------
    NotAllowedError
        When the operator does not hold it.
    """
    if role not in operator.roles:
        raise NotAllowedError(f"{operator.name} does not hold the role {role}")


def _require_teams(operator: OperatorRecord, before: Bundle, after: Bundle) -> None:
    """Check that an operator changes only records of their own teams."""
    if ANY_TEAM in operator.teams:
        return
    for name in changed_records(before, after):
        for bundle in (before, after):
            text = bundle.records.get(name)
            if text is not None and text.team not in operator.teams:
                raise NotAllowedError(
                    f"{operator.name} may not change [{name}] of team {text.team!r}",
                )


def _describe_head(head: VersionHead) -> str:
    return f"version {head.version} ({head.digest[:12]}) by {head.approver}"
