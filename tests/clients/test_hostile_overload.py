"""Clients that ask for more than targets can do, beside callers of an organisation."""

from __future__ import annotations

from clients.hostile_fleet import HostileFleetTest


class HostileOverloadTest(HostileFleetTest):
    """The targets have few slots, and ordinary callers an organisation of their own."""

    slots = 8
    ordinary_key = b"k2"

    def configured(self):
        written = super().configured()
        written["tenants"].append(
            {"name": "grocer", "api_keys": [self.ordinary_key.decode()]}
        )
        return written

    # Targets were full of the requests of one organisation, and refused all others.
    def test_more_requests_than_targets_can_do(self):
        return self.play(["middle_bodies"], connections=400)

    def test_requests_for_which_clients_wait_for_long(self):
        return self.play(["middle_bodies"], place="large", connections=400)

    def test_answers_that_are_not_read(self):
        return self.play(["unread_answers"], place="large", connections=400)
