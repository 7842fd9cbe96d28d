"""Records of the configuration: services, organisations, models and more."""

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
from primrosescale.ini.options import Text
from primrosescale.ini.options import Words
from primrosescale.ini.options import option

LONGEST_DEADLINE = 3600.0
OPERATOR_ROLES = ("author", "approver", "operator", "reader")
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
ANY_TEAM = "*"


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceRecord:
    """A service that callers use."""

    name: str
    kind: str = option(Text(("model", "plain")), "model engines or a plain service")
    models: tuple[str, ...] = option(Words(), "models its engines run", ())
    team: str = option(Text(), "team that owns it", "")
    deadline: float = option(
        Number(0.1, LONGEST_DEADLINE),
        "seconds a request may take when its caller names none",
        60.0,
    )
    deadline_cap: float = option(
        Number(0.1, LONGEST_DEADLINE),
        "seconds a caller may ask for at the most",
        300.0,
    )
    candidates: int = option(
        Number(1, 16, is_whole=True),
        "targets tried for one request at the most",
        8,
    )
    non_idempotent: tuple[str, ...] = option(
        Words(),
        "calls that run at most once: 'METHOD /path', a trailing * for any rest",
        (),
    )
    key_required: bool = option(
        Flag(),
        "refuse a non-idempotent call without an Idempotency-Key",
        default=True,
    )
    multiple: float = option(
        Number(1.0, 100.0),
        "load of a target at the most, as a multiple of the mean",
        1.5,
    )
    floor: int = option(COUNT, "work units a target may always carry", 1000)

    def is_idempotent(self, method: str, path: str) -> bool:
        """Tell whether a call may run more than once.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path within the service, without its query.

        Returns
        -------
        bool
            False for a call named by ``non_idempotent``.
        """
        for rule in self.non_idempotent:
            wanted_method, _, wanted_path = rule.partition(" ")
            if wanted_method not in {"*", method}:
                continue
            if _matches(wanted_path.strip(), path):
                return False
        return True


def _matches(wanted: str, path: str) -> bool:
    if wanted.endswith("*"):
        return path.startswith(wanted[:-1])
    return path.rstrip("/") == wanted.rstrip("/")


@dataclass(frozen=True, slots=True, kw_only=True)
class OrganisationRecord:
    """An organisation whose chats are routed."""

    name: str
    key_hashes: tuple[str, ...] = option(
        Words(),
        "SHA-256 of each bearer key, in hex; never the key itself",
    )
    team: str = option(Text(), "team that looks after it", "")
    weight: int = option(POSITIVE, "its share of a busy engine", 1)
    priority: int = option(
        Number(0, 9, is_whole=True),
        "class; a lower number goes first",
        5,
    )
    requests_per_second: float = option(
        SECONDS,
        "requests a second over all routers; 0 for no limit",
        0.0,
    )
    services: tuple[str, ...] = option(
        Words(),
        "services it may call; empty for all",
        (),
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelRecord:
    """A model and the version its engines should run."""

    name: str
    version: str = option(NAME, "version to load")
    adapters: tuple[str, ...] = option(Words(), "adapters to load", ())
    team: str = option(Text(), "team that owns it", "")
    domains: tuple[str, ...] = option(
        Words(),
        "failure domains in the order of its roll-out; empty for all at once",
        (),
    )
    error_limit: float = option(
        Number(0.0, 1.0),
        "share of failed answers at which its roll-out stops",
        0.2,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetRecord:
    """What differs for one target from its service."""

    name: str
    service: str = option(NAME, "service it belongs to")
    team: str = option(Text(), "team that owns it", "")
    role: str = option(
        Text(("mixed", "prefill", "decode")),
        "role its engine is ordered to take",
        "mixed",
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorRecord:
    """A person or program that may change the configuration."""

    name: str
    key_hash: str = option(NAME, "SHA-256 of the operator's bearer key, in hex")
    roles: tuple[str, ...] = option(Words(OPERATOR_ROLES), "what they may do")
    teams: tuple[str, ...] = option(
        Words(),
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
        Its name among those of its kind.
    """

    kind: str
    name: str

    def __str__(self) -> str:
        """Return it as it stands in INI text."""
        return f"{self.kind} {self.name}"


@dataclass(frozen=True, slots=True, order=True)
class OptionText:
    """One option of a record as written.

    Parameters
    ----------
    key : str
        Which option.
    value : str
        Its text.
    """

    key: str
    value: str


@dataclass(frozen=True, slots=True)
class RecordText:
    """A record as written.

    Parameters
    ----------
    name : RecordName
        Its name.
    options : tuple[OptionText, ...]
        Its options, sorted by key.
    """

    name: RecordName
    options: tuple[OptionText, ...]

    @property
    def team(self) -> str:
        """Return the team the record belongs to."""
        for item in self.options:
            if item.key == "team":
                return item.value
        return ""
