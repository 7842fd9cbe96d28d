"""Membership: the hosts that a router knows and the targets that it may choose.

It combines three sources, each more recent and narrower than the one before:
the platform's list of hosts, which lags; notices that an agent is up, down or
leaving, made from its heartbeats, which reach all routers within seconds; and this
router's own failures to connect, which it does not share.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from primrosescale.connection.endpoint import Endpoint
from primrosescale.connection.wire.ttypes import MemberState
from primrosescale.process.membership.flap_damper import FlapDamper
from primrosescale.request.choice.candidates import ServiceTargets
from primrosescale.request.choice.candidates import Target

if TYPE_CHECKING:
    from collections.abc import Iterable

    from primrosescale.connection.wire.ttypes import HostEntry
    from primrosescale.connection.wire.ttypes import MemberNotice
    from primrosescale.process.membership.flap_damper import MembershipSettings
    from primrosescale.request.choice.candidates import Locality

ROUTER_ROLE = "router"
AGENT_ROLE = "agent"


class Member:
    """State of a host as known to a router.

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
        """Return the endpoint that the host listens on."""
        return Endpoint(self.entry.address, self.entry.port)


class Members:
    """Hosts that a router knows, and the targets of each service to choose from.

    Parameters
    ----------
    settings : MembershipSettings
        Suspicion of hosts and damping of flapping targets.
    locality : Locality
        Region and failure domain of this router.
    """

    def __init__(self, settings: MembershipSettings, locality: Locality) -> None:
        self._settings = settings
        self._locality = locality
        self._members: dict[str, Member] = {}
        self._services: dict[str, ServiceTargets] = {}
        self._damper = FlapDamper(settings)
        self._suppressed: set[str] = set()
        self._list_version = 0

    def __len__(self) -> int:
        """Return the number of known hosts."""
        return len(self._members)

    @property
    def list_version(self) -> int:
        """Return the latest known version of the platform's list."""
        return self._list_version

    @property
    def damper(self) -> FlapDamper:
        """Return the damper that excludes flapping targets."""
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
            The host; None when it is not known.
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
            The targets; None when the service has never had one.
        """
        return self._services.get(name)

    def routers(self, domain: str, now: float) -> list[Member]:
        """Return the routers of a failure domain that are ready and not suspect.

        Parameters
        ----------
        domain : str
            The domain; empty for all domains.
        now : float
            Current time in seconds.

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
            Hosts whose targets may be chosen.
        """
        found = self._services.get(service)
        if found is None:
            return []
        return [self._members[target.name] for target in found.targets()]

    def domains(self) -> list[str]:
        """Return the failure domains with at least one router.

        Returns
        -------
        list[str]
            Sorted.
        """
        entries = (member.entry for member in self._members.values())
        return sorted({e.domain for e in entries if e.role == ROUTER_ROLE})

    def find_target(self, service: str, name: str, now: float) -> Target | None:
        """Return a target by name if it may be chosen.

        Parameters
        ----------
        service : str
            Its service.
        name : str
            Its name.
        now : float
            Current time in seconds.

        Returns
        -------
        Target | None
            The target; None when it is unknown, down, leaving, suspect or
            excluded for flapping.
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
        """Return the candidates of a request in the order in which they are tried.

        A suspect target is moved to the end rather than removed, so that the
        others stay in the order that every other router uses.

        Parameters
        ----------
        service : str
            The service.
        key : str
            The chat, or a random key for a request without one.
        count : int
            Maximum number to return.
        now : float
            Current time in seconds.

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
        """Apply the platform's list or changes of it.

        Parameters
        ----------
        entries : Iterable[HostEntry]
            The entries.
        version : int
            Version of the list that includes them; ignored when it is older
            than the known one.
        now : float
            Current time in seconds.
        is_full : bool
            Whether the entries are the complete list, so that other hosts are
            removed.
        """
        if version < self._list_version:
            return
        self._list_version = version
        items = list(entries)
        if is_full:
            kept = {entry.name for entry in items}
            for name in [n for n in self._members if n not in kept]:
                self._remove(name)
        changed_services: set[str] = set()
        for entry in items:
            self._apply_entry(entry, changed_services)
        for service in changed_services:
            self._rebuild_targets(service, now)

    def apply_notice(self, notice: MemberNotice, now: float) -> None:
        """Apply a notice of an agent's state.

        An agent that is leaving stays so until it is down or restarts.

        Parameters
        ----------
        notice : MemberNotice
            The notice; ignored when it is of an earlier incarnation.
        now : float
            Current time in seconds.
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
            self._damper.record_down(notice.name, now)
        self._update_target(member, now)

    def suspect(self, name: str, now: float) -> None:
        """Suspect a host for a while after this router failed to reach it.

        Parameters
        ----------
        name : str
            The host.
        now : float
            Current time in seconds.
        """
        member = self._members.get(name)
        if member is not None:
            member.suspect_until = now + self._settings.suspect_for

    def readmit_targets(self, now: float) -> None:
        """Make excluded targets available again once their penalty has decayed.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        for name in sorted(self._suppressed):
            member = self._members.get(name)
            if member is None:
                self._suppressed.discard(name)
            else:
                self._update_target(member, now)
        self._damper.remove_decayed(now)

    def entries_after(self, version: int, count: int) -> list[HostEntry]:
        """Return entries of the list in the order of their versions.

        Parameters
        ----------
        version : int
            Version after which the entries begin.
        count : int
            Maximum number to return.

        Returns
        -------
        list[HostEntry]
            Entries of hosts that are on the list now.
        """
        entries = [member.entry for member in self._members.values()]
        newer = [entry for entry in entries if entry.version > version]
        return sorted(newer, key=lambda entry: entry.version)[:count]

    def not_ready_agents(self) -> list[Member]:
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

    def _apply_entry(self, entry: HostEntry, changed_services: set[str]) -> None:
        known = self._members.get(entry.name)
        if known is not None and entry.role == AGENT_ROLE:
            changed_services.add(known.entry.service_name)
        if entry.gone:
            if known is not None and entry.incarnation >= known.incarnation:
                self._remove(entry.name)
            return
        if entry.role == AGENT_ROLE:
            changed_services.add(entry.service_name)
        if known is None or entry.incarnation > known.incarnation:
            _intern_strings(entry)
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

    def _rebuild_targets(self, service: str, now: float) -> None:
        targets = self._services.get(service)
        if targets is None:
            targets = self._services[service] = ServiceTargets(self._locality)
        members = [
            member
            for member in self._members.values()
            if member.entry.role == AGENT_ROLE
            and member.entry.service_name == service
            and self._is_eligible(member, now)
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

    def _update_target(self, member: Member, now: float) -> None:
        """Add a target to its service or remove it, as its state requires."""
        if member.entry.role != AGENT_ROLE:
            return
        service = member.entry.service_name
        targets = self._services.get(service)
        if targets is None:
            targets = self._services[service] = ServiceTargets(self._locality)
        if self._is_eligible(member, now):
            self._suppressed.discard(member.entry.name)
            targets.put(_target_of(member))
        else:
            targets.remove(member.entry.name)

    def _is_eligible(self, member: Member, now: float) -> bool:
        if member.state != MemberState.READY:
            return False
        if self._damper.is_suppressed(member.entry.name, now):
            self._suppressed.add(member.entry.name)
            return False
        return True


def _intern_strings(entry: HostEntry) -> None:
    """Intern the strings that thousands of hosts have in common, to save memory."""
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
