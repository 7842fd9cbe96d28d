"""Record types of the configuration and the options that each of them has."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TypeAlias

from primrosescale.ini.options import COUNT
from primrosescale.ini.options import NAME
from primrosescale.ini.options import POSITIVE
from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import Flag
from primrosescale.ini.options import Number
from primrosescale.ini.options import StringList
from primrosescale.ini.options import Text
from primrosescale.ini.options import option

MAX_DEADLINE_SECONDS = 3600.0
OPERATOR_ROLES = ("author", "approver", "operator", "reader")
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
ANY_TEAM = "*"


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceRecord:
    """A service that callers send requests to."""

    name: str
    kind: str = option(Text(("model", "plain")), "model engines or a plain service")
    models: tuple[str, ...] = option(StringList(), "models its engines run", ())
    team: str = option(Text(), "team that owns it", "")
    deadline: float = option(
        Number(0.1, MAX_DEADLINE_SECONDS),
        "deadline of requests whose caller sets none, in seconds",
        60.0,
    )
    deadline_cap: float = option(
        Number(0.1, MAX_DEADLINE_SECONDS),
        "longest deadline that a caller may set, in seconds",
        300.0,
    )
    candidates: int = option(
        Number(1, 16, is_integer=True),
        "maximum number of targets tried for one request",
        8,
    )
    non_idempotent: tuple[str, ...] = option(
        StringList(),
        "calls that run at most once: 'METHOD /path'; a trailing * matches any suffix",
        (),
    )
    key_required: bool = option(
        Flag(),
        "refuse a non-idempotent call without an Idempotency-Key",
        default=True,
    )
    multiple: float = option(
        Number(1.0, 100.0),
        "load bound of a target, as a multiple of the mean load",
        1.5,
    )
    floor: int = option(
        COUNT, "work units below which a target is never over its load bound", 1000
    )

    def is_idempotent(self, method: str, path: str) -> bool:
        """Return whether a call may run more than once.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path within the service, without its query.

        Returns
        -------
        bool
            False for a call that matches a rule of ``non_idempotent``.
        """
        for rule in self.non_idempotent:
            wanted_method, _, wanted_path = rule.partition(" ")
            if wanted_method not in {"*", method}:
                continue
            if _path_matches(wanted_path.strip(), path):
                return False
        return True


def _path_matches(wanted: str, path: str) -> bool:
    if wanted.endswith("*"):
        return path.startswith(wanted[:-1])
    return path.rstrip("/") == wanted.rstrip("/")


@dataclass(frozen=True, slots=True, kw_only=True)
class OrganisationRecord:
    """An organisation whose requests are routed."""

    name: str
    key_hashes: tuple[str, ...] = option(
        StringList(),
        "SHA-256 of each bearer key, in hex; never the key itself",
    )
    team: str = option(Text(), "team that owns it", "")
    weight: int = option(
        POSITIVE, "its share of an engine at capacity, relative to other weights", 1
    )
    priority: int = option(
        Number(0, 9, is_integer=True),
        "priority class; lower numbers are served first",
        5,
    )
    requests_per_second: float = option(
        SECONDS,
        "requests per second over all routers; 0 for no limit",
        0.0,
    )
    services: tuple[str, ...] = option(
        StringList(),
        "services it may call; empty for all",
        (),
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelRecord:
    """A model and the version its engines should run."""

    name: str
    version: str = option(NAME, "version to load")
    adapters: tuple[str, ...] = option(StringList(), "adapters to load", ())
    team: str = option(Text(), "team that owns it", "")
    domains: tuple[str, ...] = option(
        StringList(),
        "failure domains in roll-out order; empty for all at once",
        (),
    )
    error_limit: float = option(
        Number(0.0, 1.0),
        "share of failed answers at which its roll-out is stopped",
        0.2,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetRecord:
    """Settings of one target that differ from those of its service."""

    name: str
    service: str = option(NAME, "service it belongs to")
    team: str = option(Text(), "team that owns it", "")
    role: str = option(
        Text(("mixed", "prefill", "decode")),
        "role assigned to its engine",
        "mixed",
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorRecord:
    """A person or program that may change the configuration."""

    name: str
    key_hash: str = option(NAME, "SHA-256 of the operator's bearer key, in hex")
    roles: tuple[str, ...] = option(
        StringList(OPERATOR_ROLES), "roles that the operator holds"
    )
    teams: tuple[str, ...] = option(
        StringList(),
        "teams whose records they may change; * for all",
        (),
    )
    team: str = option(Text(), "team that owns this record", "")


Record: TypeAlias = (
    ServiceRecord | OrganisationRecord | ModelRecord | TargetRecord | OperatorRecord
)
CLASS_BY_KIND: dict[str, type[Record]] = {
    "service": ServiceRecord,
    "organisation": OrganisationRecord,
    "model": ModelRecord,
    "target": TargetRecord,
    "operator": OperatorRecord,
}
SHARDED_KIND = "organisation"


@dataclass(frozen=True, slots=True, order=True)
class RecordName:
    """Name of a record.

    Parameters
    ----------
    kind : str
        One of the kinds in `CLASS_BY_KIND`.
    name : str
        Name of the record, unique within its kind.
    """

    kind: str
    name: str

    def __str__(self) -> str:
        """Return the name as written in a section header of INI text."""
        return f"{self.kind} {self.name}"


@dataclass(frozen=True, slots=True, order=True)
class OptionText:
    """An option of a record as written.

    Parameters
    ----------
    key : str
        Name of the option.
    value : str
        Text of the value.
    """

    key: str
    value: str


@dataclass(frozen=True, slots=True)
class RecordText:
    """A record as written.

    Parameters
    ----------
    name : RecordName
        Name of the record.
    options : tuple[OptionText, ...]
        Its options, sorted by key.
    """

    name: RecordName
    options: tuple[OptionText, ...]

    @property
    def team(self) -> str:
        """Return the team that owns the record; empty for none."""
        for item in self.options:
            if item.key == "team":
                return item.value
        return ""
