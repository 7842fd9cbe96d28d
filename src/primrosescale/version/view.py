"""A version in force: its records, ready for use."""

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
from primrosescale.version.section import place_of

if TYPE_CHECKING:
    from collections.abc import Iterable

    from primrosescale.version.head import VersionHead
    from primrosescale.version.records import Record

R = TypeVar("R")


@dataclass(slots=True)
class Pins:
    """Requests that still use a version.

    Parameters
    ----------
    count : int
        How many.
    """

    count: int = 0


class GroupView:
    """The records of one group of sections; shared between versions.

    Parameters
    ----------
    label : str
        Label of the group.
    digest : str
        Name of its section.
    leaves : dict[str, list[Record]]
        Its records by the name of the leaf that holds them.
    indexes : list[str]
        Names of the sections between the group and its leaves.
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
        Which version it is.
    groups : Iterable[GroupView]
        Its records.
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
        self._pins = Pins()
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
        """Return which version this is."""
        return self._head

    @property
    def version(self) -> int:
        """Return the version's number."""
        return self._head.version

    @property
    def pins(self) -> int:
        """Return how many requests use this version."""
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
        """Return the targets that differ from their service, by name."""
        return self._targets

    @property
    def operators(self) -> dict[str, OperatorRecord]:
        """Return the operators by name."""
        return self._operators

    def pin(self) -> VersionView:
        """Keep this version in use for one more request.

        Returns
        -------
        VersionView
            This view.
        """
        self._pins.count += 1
        return self

    def unpin(self) -> None:
        """End one request's use."""
        self._pins.count -= 1

    def organisation_of(self, key: str) -> OrganisationRecord | None:
        """Return whose bearer key this is.

        The key's hash is looked up, and then compared in constant time.

        Parameters
        ----------
        key : str
            The key as sent.

        Returns
        -------
        OrganisationRecord | None
            The organisation, unless the key is unknown.
        """
        sent = hashlib.sha256(key.encode()).digest()
        for group in self._groups.values():
            name = group.keys.get(sent)
            if name is not None:
                return _verified(group.organisations[name], sent)
        return None

    def organisation(self, name: str) -> OrganisationRecord | None:
        """Return an organisation by name.

        Parameters
        ----------
        name : str
            Its name.

        Returns
        -------
        OrganisationRecord | None
            The organisation, if there is one.
        """
        place = place_of(RecordName(SHARDED_KIND, name))
        group = self._groups.get(place.group)
        return None if group is None else group.organisations.get(name)

    def operator_of(self, key: str) -> OperatorRecord | None:
        """Return whose operator key this is.

        Parameters
        ----------
        key : str
            The key as sent.

        Returns
        -------
        OperatorRecord | None
            The operator, unless the key is unknown.
        """
        sent = hashlib.sha256(key.encode()).hexdigest()
        found: OperatorRecord | None = None
        for record in self._operators.values():
            if hmac.compare_digest(record.key_hash, sent):
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
            The service, if one runs it.
        """
        named = self._services.get(model)
        if named is not None and named.kind == "model":
            return named
        for service in self._services.values():
            if model in service.models:
                return service
        return None


def _verified(record: OrganisationRecord, sent: bytes) -> OrganisationRecord | None:
    """Compare a key's hash in constant time with those of its record."""
    for item in record.key_hashes:
        if hmac.compare_digest(bytes.fromhex(item), sent):
            return record
    return None


def _by_name(items: list[Record], kind: type[R]) -> dict[str, R]:
    return {item.name: item for item in items if isinstance(item, kind)}
