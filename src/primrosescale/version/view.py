"""View of one version: looks up its records by kind, name and bearer key."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeVar

from primrosescale.version.records import SHARDED_KIND
from primrosescale.version.records import ModelRecord
from primrosescale.version.records import OperatorRecord
from primrosescale.version.records import OrganisationRecord
from primrosescale.version.records import RecordName
from primrosescale.version.records import ServiceRecord
from primrosescale.version.records import TargetRecord
from primrosescale.version.section import locate_record

if TYPE_CHECKING:
    from collections.abc import Iterable

    from primrosescale.version.head import VersionHead
    from primrosescale.version.records import Record

R = TypeVar("R")


@dataclass(slots=True)
class PinCounter:
    """Number of requests that still use a version.

    Parameters
    ----------
    count : int
        Number of requests.
    """

    count: int = 0


class GroupView:
    """The parsed records of one group; versions share unchanged groups.

    Parameters
    ----------
    label : str
        Label of the group.
    digest : str
        Digest of its section.
    leaves : dict[str, list[Record]]
        Its records by the digest of the leaf that contains them.
    indexes : list[str]
        Digests of the sections between the group and its leaves.
    """

    __slots__ = (
        "digest",
        "indexes",
        "keys",
        "label",
        "leaves",
        "organisations",
        "records",
    )

    def __init__(
        self,
        label: str,
        digest: str,
        leaves: dict[str, list[Record]],
        indexes: list[str],
    ) -> None:
        self.label = label
        self.digest = digest
        self.leaves = leaves
        self.indexes = indexes
        self.records = [record for part in leaves.values() for record in part]
        self.organisations = _by_name(self.records, OrganisationRecord)
        self.keys = {
            bytes.fromhex(item): record.name
            for record in self.organisations.values()
            for item in record.key_hashes
        }


class VersionView:
    """The records of one version, by kind and name.

    Parameters
    ----------
    head : VersionHead
        Head of the version.
    groups : Iterable[GroupView]
        Groups of its records.
    """

    __slots__ = (
        "_groups",
        "_head",
        "_models",
        "_operators",
        "_pins",
        "_services",
        "_targets",
    )

    def __init__(self, head: VersionHead, groups: Iterable[GroupView]) -> None:
        self._head = head
        self._pins = PinCounter()
        self._groups = {group.label: group for group in groups}
        items = [
            record
            for group in self._groups.values()
            if not group.organisations
            for record in group.records
        ]
        self._services = _by_name(items, ServiceRecord)
        self._models = _by_name(items, ModelRecord)
        self._targets = _by_name(items, TargetRecord)
        self._operators = _by_name(items, OperatorRecord)

    @property
    def head(self) -> VersionHead:
        """Return the head of the version."""
        return self._head

    @property
    def version(self) -> int:
        """Return the version's number."""
        return self._head.version

    @property
    def pins(self) -> int:
        """Return the number of requests that use this version."""
        return self._pins.count

    @property
    def services(self) -> dict[str, ServiceRecord]:
        """Return the services by name."""
        return self._services

    @property
    def groups(self) -> dict[str, GroupView]:
        """Return the groups by label."""
        return self._groups

    @property
    def models(self) -> dict[str, ModelRecord]:
        """Return the models by name."""
        return self._models

    @property
    def targets(self) -> dict[str, TargetRecord]:
        """Return the targets with settings of their own, by name."""
        return self._targets

    @property
    def operators(self) -> dict[str, OperatorRecord]:
        """Return the operators by name."""
        return self._operators

    def pin(self) -> VersionView:
        """Register one more request that uses this version.

        Returns
        -------
        VersionView
            This view.
        """
        self._pins.count += 1
        return self

    def unpin(self) -> None:
        """Unregister one request that used this version."""
        self._pins.count -= 1

    def organisation_of(self, key: str) -> OrganisationRecord | None:
        """Return the organisation that a bearer key belongs to.

        The key's hash is looked up and then compared in constant time.

        Parameters
        ----------
        key : str
            The key as received.

        Returns
        -------
        OrganisationRecord | None
            The organisation; None for an unknown key.
        """
        sent_hash = hashlib.sha256(key.encode()).digest()
        for group in self._groups.values():
            name = group.keys.get(sent_hash)
            if name is not None:
                return _match_key_hash(group.organisations[name], sent_hash)
        return None

    def organisation(self, name: str) -> OrganisationRecord | None:
        """Return an organisation by name.

        Parameters
        ----------
        name : str
            Name of the organisation.

        Returns
        -------
        OrganisationRecord | None
            The organisation; None when there is none of this name.
        """
        location = locate_record(RecordName(SHARDED_KIND, name))
        group = self._groups.get(location.group)
        return None if group is None else group.organisations.get(name)

    def operator_of(self, key: str) -> OperatorRecord | None:
        """Return the operator that a key belongs to.

        Parameters
        ----------
        key : str
            The key as received.

        Returns
        -------
        OperatorRecord | None
            The operator; None for an unknown key.
        """
        sent_hash = hashlib.sha256(key.encode()).hexdigest()
        found: OperatorRecord | None = None
        for record in self._operators.values():
            if hmac.compare_digest(record.key_hash, sent_hash):
                found = record
        return found

    def service_of_model(self, model: str) -> ServiceRecord | None:
        """Return the service whose engines run a model.

        Parameters
        ----------
        model : str
            Name of the model or of the service itself.

        Returns
        -------
        ServiceRecord | None
            The service; None when no service runs it.
        """
        named = self._services.get(model)
        if named is not None and named.kind == "model":
            return named
        for service in self._services.values():
            if model in service.models:
                return service
        return None


def _match_key_hash(
    record: OrganisationRecord, sent_hash: bytes
) -> OrganisationRecord | None:
    """Return the record if it has the hash; each comparison takes constant time."""
    for item in record.key_hashes:
        if hmac.compare_digest(bytes.fromhex(item), sent_hash):
            return record
    return None


def _by_name(items: list[Record], kind: type[R]) -> dict[str, R]:
    return {item.name: item for item in items if isinstance(item, kind)}
