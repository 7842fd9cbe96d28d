"""Bundles: the records of one version as written in INI, and their validation."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from primrosescale.ini.exceptions import Fault
from primrosescale.ini.exceptions import faults_error
from primrosescale.ini.reader import parse_text
from primrosescale.ini.reader import read_section
from primrosescale.version.records import CLASS_BY_KIND
from primrosescale.version.records import NAME_PATTERN
from primrosescale.version.records import ModelRecord
from primrosescale.version.records import OperatorRecord
from primrosescale.version.records import OptionText
from primrosescale.version.records import OrganisationRecord
from primrosescale.version.records import RecordName
from primrosescale.version.records import RecordText
from primrosescale.version.records import ServiceRecord
from primrosescale.version.records import TargetRecord

if TYPE_CHECKING:
    from collections.abc import Iterable

    from primrosescale.version.records import Record

HASH_HEX_LENGTH = 64
HEX_DIGITS = frozenset("0123456789abcdef")


@dataclass(frozen=True, slots=True)
class Bundle:
    """The records of one version as written, by name.

    Parameters
    ----------
    records : dict[RecordName, RecordText]
        The records.
    """

    records: dict[RecordName, RecordText]

    @classmethod
    def from_ini(cls, text: str, source: str) -> Bundle:
        """Parse and validate a bundle written as INI.

        Parameters
        ----------
        text : str
            The INI text.
        source : str
            Name of the text's source, for errors.

        Returns
        -------
        Bundle
            A valid bundle.

        Raises
        ------
        IniError
            When the text is not INI.
        FaultsError
            With all faults of its records.
        """
        parser = parse_text(text, source)
        faults: list[Fault] = []
        texts: list[RecordText] = []
        for section in parser.sections():
            name = _record_name(section, faults)
            if name is None:
                continue
            pairs = sorted(parser.items(section))
            options = tuple(OptionText(key, value.strip()) for key, value in pairs)
            texts.append(RecordText(name, options))
        bundle = cls({text.name: text for text in texts})
        faults.extend(bundle.faults())
        if faults:
            raise faults_error(source, faults)
        return bundle

    def to_ini(self) -> str:
        """Return the bundle as INI text.

        Returns
        -------
        str
            Sections sorted by record name.
        """
        blocks: list[str] = []
        for name in sorted(self.records):
            lines = [f"[{name}]"]
            for item in self.records[name].options:
                value = item.value.replace("\n", "\n    ")
                lines.append(f"{item.key} = {value}")
            blocks.append("\n".join(lines))
        return "\n\n".join(blocks) + "\n"

    def faults(self) -> list[Fault]:
        """Return the faults of each record and of the references between records.

        Returns
        -------
        list[Fault]
            Empty for a valid bundle.
        """
        faults: list[Fault] = []
        parsed = [parse_record(text, faults) for text in self.records.values()]
        records = [record for record in parsed if record is not None]
        faults.extend(_cross_record_faults(records))
        return faults


def parse_record(text: RecordText, faults: list[Fault]) -> Record | None:
    """Parse and validate one record.

    Parameters
    ----------
    text : RecordText
        The record as written.
    faults : list[Fault]
        Receives every fault found.

    Returns
    -------
    Record | None
        The record; None when it has a fault.
    """
    return read_section(
        CLASS_BY_KIND[text.name.kind],
        str(text.name),
        {item.key: item.value for item in text.options},
        faults,
        {"name": text.name.name},
    )


def _record_name(section: str, faults: list[Fault]) -> RecordName | None:
    kind, _, name = section.partition(" ")
    name = name.strip()
    if kind not in CLASS_BY_KIND:
        remedy = f"name it '[KIND NAME]' with KIND one of {', '.join(CLASS_BY_KIND)}"
        faults.append(Fault(section, "", "", "unknown kind of record", remedy))
        return None
    if not NAME_PATTERN.fullmatch(name):
        remedy = "use 1 to 63 letters, digits, dots, dashes and underscores"
        faults.append(Fault(section, "", "", "wrong name", remedy))
        return None
    return RecordName(kind, name)


def _cross_record_faults(records: Iterable[Record]) -> list[Fault]:
    """Return the faults of references between records and of shared key hashes."""
    faults: list[Fault] = []
    items = list(records)
    models = {r.name for r in items if isinstance(r, ModelRecord)}
    services = {r.name for r in items if isinstance(r, ServiceRecord)}
    organisation_by_hash: dict[str, str] = {}
    for record in items:
        if isinstance(record, ServiceRecord):
            faults.extend(_service_faults(record, models))
        elif isinstance(record, TargetRecord) and record.service not in services:
            faults.append(
                _dangling_reference(f"target {record.name}", "service", record.service)
            )
        elif isinstance(record, OrganisationRecord):
            faults.extend(_organisation_faults(record, services, organisation_by_hash))
        elif isinstance(record, OperatorRecord):
            faults.extend(
                _hash_faults(f"operator {record.name}", "key_hash", record.key_hash),
            )
    return faults


def _service_faults(record: ServiceRecord, models: set[str]) -> list[Fault]:
    section = f"service {record.name}"
    faults = [
        _dangling_reference(section, "models", model)
        for model in record.models
        if model not in models
    ]
    if record.kind == "model" and not record.models:
        remedy = "list the models its engines run"
        faults.append(Fault(section, "models", "", "missing", remedy))
    if record.deadline > record.deadline_cap:
        remedy = "write at most the value of deadline_cap"
        value = str(record.deadline)
        faults.append(Fault(section, "deadline", value, "over its cap", remedy))
    for rule in record.non_idempotent:
        method, _, path = rule.partition(" ")
        if (not method.isupper() and method != "*") or not path.startswith("/"):
            remedy = "write 'METHOD /path' such as 'POST /switches'"
            problem = "wrong rule"
            faults.append(Fault(section, "non_idempotent", rule, problem, remedy))
    return faults


def _organisation_faults(
    record: OrganisationRecord,
    services: set[str],
    organisation_by_hash: dict[str, str],
) -> list[Fault]:
    section = f"organisation {record.name}"
    faults = [
        _dangling_reference(section, "services", name)
        for name in record.services
        if name not in services
    ]
    for item in record.key_hashes:
        faults.extend(_hash_faults(section, "key_hashes", item))
        other = organisation_by_hash.setdefault(item, record.name)
        if other != record.name:
            problem = f"key also belongs to organisation {other}"
            remedy = "give each organisation keys of its own"
            faults.append(Fault(section, "key_hashes", item, problem, remedy))
    return faults


def _hash_faults(section: str, key: str, value: str) -> list[Fault]:
    if len(value) == HASH_HEX_LENGTH and set(value) <= HEX_DIGITS:
        return []
    remedy = "write the key's SHA-256 as 64 lower-case hex digits"
    return [Fault(section, key, value, "not a hash", remedy)]


def _dangling_reference(section: str, key: str, value: str) -> Fault:
    return Fault(
        section, key, value, "names nothing", "add the record or mend the name"
    )
