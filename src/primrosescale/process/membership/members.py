"""What a router knows of hosts: the platform's list, news and suspicion.

Three sources, each fresher and narrower than the one before: the platform's
list, which lags; notices that agents' heartbeats began, stopped or say
"leaving", which all routers hear in seconds; and this router's own failures
to connect, which stay its own affair.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from primrosescale.connection.endpoint import Endpoint
from primrosescale.connection.wire.ttypes import MemberState
from primrosescale.process.membership.flap_damper import FlapDamper
from primrosescale.request.candidates import ServiceTargets
from primrosescale.request.candidates import Target

if TYPE_CHECKING:
    from collections.abc import Iterable

    from primrosescale.connection.wire.ttypes import HostEntry
    from primrosescale.connection.wire.ttypes import MemberNotice
    from primrosescale.process.membership.flap_damper import MembershipSettings
    from primrosescale.request.candidates import Locality

ROUTER_ROLE = "router"
AGENT_ROLE = "agent"


class Member:
    """A host as a router knows it.

    Parameters
    ----------
    entry : HostEntry
        Its entry in the platform's list.
    """

    __slots__ = ("entry", "incarnation", "state", "suspect_until")

    def __init__(self, entry: HostEntry) -> None:
        self.entry = entry
        self.state = MemberState.LEAVING if entry.leaving else MemberState.READY
        self.incarnation = entry.incarnation
        self.suspect_until = 0.0

    @property
    def endpoint(self) -> Endpoint:
        """Return where it listens."""
        return Endpoint(self.entry.address, self.entry.port)


class Members:
    """All hosts a router knows, and the targets that may be chosen.

    Parameters
    ----------
    settings : MembershipSettings
        How news is weighed.
    locality : Locality
        Where this router runs.
    """

    def __init__(self, settings: MembershipSettings, locality: Locality) -> None:
        self._settings = settings
        self._locality = locality
        self._members: dict[str, Member] = {}
        self._services: dict[str, ServiceTargets] = {}
        self._damper = FlapDamper(settings)
        self._held_back: set[str] = set()
        self._list_version = 0

    def __len__(self) -> int:
        """Return how many hosts are known."""
        return len(self._members)

    @property
    def list_version(self) -> int:
        """Return the version of the platform's list that is known."""
        return self._list_version

    @property
    def damper(self) -> FlapDamper:
        """Return the damper of flapping targets."""
        return self._damper

    def get(self, name: str) -> Member | None:
        """Return a host by name.

        Parameters
        ----------
        name : str
            Its name.

        Returns
        -------
        Member | None
            The host, if it is known.
        """
        return self._members.get(name)

    def service(self, name: str) -> ServiceTargets | None:
        """Return the targets of a service.

        Parameters
        ----------
        name : str
            The service.

        Returns
        -------
        ServiceTargets | None
            None when it has no target.
        """
        return self._services.get(name)

    def routers(self, domain: str, now: float) -> list[Member]:
        """Return the routers of a failure domain that seem alive.

        Parameters
        ----------
        domain : str
            The domain; empty for all.
        now : float
            Present time in seconds.

        Returns
        -------
        list[Member]
            Sorted by name.
        """
        found = [
            member
            for member in self._members.values()
            if member.entry.role == ROUTER_ROLE
            and (not domain or member.entry.domain == domain)
            and member.state == MemberState.READY
            and member.suspect_until <= now
        ]
        return sorted(found, key=lambda member: member.entry.name)

    def targets_of(self, service: str) -> list[Member]:
        """Return the hosts of a service's targets.

        Parameters
        ----------
        service : str
            The service.

        Returns
        -------
        list[Member]
            Those that may be chosen.
        """
        found = self._services.get(service)
        if found is None:
            return []
        return [self._members[target.name] for target in found.targets()]

    def domains(self) -> list[str]:
        """Return the failure domains that have routers.

        Returns
        -------
        list[str]
            Sorted.
        """
        entries = (member.entry for member in self._members.values())
        return sorted({e.domain for e in entries if e.role == ROUTER_ROLE})

    def find_target(self, service: str, name: str, now: float) -> Target | None:
        """Return a target that may be chosen.

        Parameters
        ----------
        service : str
            Its service.
        name : str
            Its name.
        now : float
            Present time in seconds.

        Returns
        -------
        Target | None
            None when it is unknown, down, leaving or suspect.
        """
        targets = self._services.get(service)
        member = self._members.get(name)
        if targets is None or member is None or member.suspect_until > now:
            return None
        return targets.get(name)

    def candidates(
        self,
        service: str,
        key: str,
        count: int,
        now: float,
    ) -> list[Target]:
        """Return the order in which a request tries targets.

        A suspect target goes last instead of leaving the order, so that the
        order of the others is that of every other router.

        Parameters
        ----------
        service : str
            The service.
        key : str
            The chat, or a random key.
        count : int
            How many at the most.
        now : float
            Present time in seconds.

        Returns
        -------
        list[Target]
            Distinct targets.
        """
        targets = self._services.get(service)
        if targets is None:
            return []
        found = targets.order(key, count)
        members = self._members
        found.sort(key=lambda target: members[target.name].suspect_until > now)
        return found

    def apply_list(
        self,
        entries: Iterable[HostEntry],
        version: int,
        now: float,
        *,
        is_full: bool,
    ) -> None:
        """Take in the platform's list or changes of it.

        Parameters
        ----------
        entries : Iterable[HostEntry]
            The entries.
        version : int
            Version of the list with them; an older one is ignored.
        now : float
            Present time in seconds.
        is_full : bool
            Whether hosts that are not among them have left.
        """
        if version < self._list_version:
            return
        self._list_version = version
        items = list(entries)
        if is_full:
            kept = {entry.name for entry in items}
            for name in [n for n in self._members if n not in kept]:
                self._remove(name)
        touched: set[str] = set()
        for entry in items:
            self._take_entry(entry, touched)
        for service in touched:
            self._rebuild(service, now)

    def apply_notice(self, notice: MemberNotice, now: float) -> None:
        """Take in news of an agent.

        Parameters
        ----------
        notice : MemberNotice
            The news; that of an earlier incarnation is ignored.
        now : float
            Present time in seconds.
        """
        member = self._members.get(notice.name)
        if member is None or notice.incarnation < member.incarnation:
            return
        is_new = notice.incarnation > member.incarnation
        if not is_new and member.state == MemberState.LEAVING:
            if notice.state != MemberState.DOWN:
                return
        if not is_new and member.state == notice.state:
            return
        was_ready = member.state == MemberState.READY
        member.incarnation = notice.incarnation
        member.state = MemberState(notice.state)
        member.suspect_until = 0.0
        if notice.state == MemberState.DOWN and was_ready:
            self._damper.went_down(notice.name, now)
        self._place(member, now)

    def suspect(self, name: str, now: float) -> None:
        """Take in that this router could not reach a host.

        Parameters
        ----------
        name : str
            The host.
        now : float
            Present time in seconds.
        """
        member = self._members.get(name)
        if member is not None:
            member.suspect_until = now + self._settings.suspect_for

    def readmit_targets(self, now: float) -> None:
        """Let targets back whose penalty has faded.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        for name in sorted(self._held_back):
            member = self._members.get(name)
            if member is None:
                self._held_back.discard(name)
            else:
                self._place(member, now)
        self._damper.remove_expired(now)

    def entries_after(self, version: int, count: int) -> list[HostEntry]:
        """Return entries of the list in the order of their versions.

        Parameters
        ----------
        version : int
            Version after which they begin.
        count : int
            How many at the most.

        Returns
        -------
        list[HostEntry]
            Hosts that are on the list now.
        """
        entries = [member.entry for member in self._members.values()]
        newer = [entry for entry in entries if entry.version > version]
        return sorted(newer, key=lambda entry: entry.version)[:count]

    def notices(self) -> list[Member]:
        """Return the agents that are down or leaving.

        Returns
        -------
        list[Member]
            In no particular order.
        """
        return [
            member
            for member in self._members.values()
            if member.entry.role == AGENT_ROLE and member.state != MemberState.READY
        ]

    def _take_entry(self, entry: HostEntry, touched: set[str]) -> None:
        known = self._members.get(entry.name)
        if known is not None and entry.role == AGENT_ROLE:
            touched.add(known.entry.service_name)
        if entry.gone:
            if known is not None and entry.incarnation >= known.incarnation:
                self._remove(entry.name)
            return
        if entry.role == AGENT_ROLE:
            touched.add(entry.service_name)
        if known is None or entry.incarnation > known.incarnation:
            _share_words(entry)
            member = Member(entry)
            if known is not None:
                member.suspect_until = known.suspect_until
            self._members[entry.name] = member
            return
        if entry.incarnation == known.incarnation:
            known.entry = entry
            if entry.leaving:
                known.state = MemberState.LEAVING

    def _remove(self, name: str) -> None:
        member = self._members.pop(name, None)
        if member is None or member.entry.role != AGENT_ROLE:
            return
        targets = self._services.get(member.entry.service_name)
        if targets is not None:
            targets.remove(name)

    def _rebuild(self, service: str, now: float) -> None:
        targets = self._services.get(service)
        if targets is None:
            targets = self._services[service] = ServiceTargets(self._locality)
        members = [
            member
            for member in self._members.values()
            if member.entry.role == AGENT_ROLE
            and member.entry.service_name == service
            and self._is_choosable(member, now)
        ]
        if len(targets):
            known = {target.name for target in targets.targets()}
            wanted = {member.entry.name for member in members}
            for name in known - wanted:
                targets.remove(name)
            for member in members:
                targets.put(_target_of(member))
        else:
            targets.fill([_target_of(member) for member in members])

    def _place(self, member: Member, now: float) -> None:
        """Put a target into its service's order, or take it out."""
        if member.entry.role != AGENT_ROLE:
            return
        service = member.entry.service_name
        targets = self._services.get(service)
        if targets is None:
            targets = self._services[service] = ServiceTargets(self._locality)
        if self._is_choosable(member, now):
            self._held_back.discard(member.entry.name)
            targets.put(_target_of(member))
        else:
            targets.remove(member.entry.name)

    def _is_choosable(self, member: Member, now: float) -> bool:
        if member.state != MemberState.READY:
            return False
        if self._damper.keeps_out(member.entry.name, now):
            self._held_back.add(member.entry.name)
            return False
        return True


def _share_words(entry: HostEntry) -> None:
    """Keep one copy of the words that thousands of hosts have in common."""
    entry.role = sys.intern(entry.role)
    entry.domain = sys.intern(entry.domain)
    entry.region = sys.intern(entry.region)
    entry.service_name = sys.intern(entry.service_name)


def _target_of(member: Member) -> Target:
    entry = member.entry
    return Target(
        entry.name,
        member.endpoint,
        entry.service_name,
        entry.domain,
        entry.region,
    )
