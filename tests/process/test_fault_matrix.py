"""Every fault injected at every step of a call, then pairs of faults."""

from __future__ import annotations

import hypothesis.strategies as st
from hypothesis import given
from testtools import TestCase

from support.cells import run_cell
from support.cells import steps_of
from support.drawn import drawn
from support.faults import FAULTS

KINDS = ("keyed", "chat")
PAIRS = 60


class FaultMatrixTest(TestCase):
    def check(self, kind, injections):
        world = run_cell(kind, injections)
        self.assertEqual(
            sorted(injections),
            sorted(world.struck),
            f"{kind} {injections}: a fault was not injected",
        )
        self.assertEqual([], world.faults(), f"{kind} {injections}")

    def pair(self, kind, injections):
        world = run_cell(kind, injections)
        self.assertEqual([], world.faults(), f"{kind} {injections}")


def _cell(kind, step, fault):
    def test(self):
        self.check(kind, [(step, fault)])

    return test


for _kind in KINDS:
    for _step in steps_of(_kind):
        for _fault in FAULTS:
            _name = f"test_{_kind}_{_step}_{_fault}".replace(" ", "_").replace("'", "")
            setattr(FaultMatrixTest, _name, _cell(_kind, _step, _fault))


class FaultPairsTest(FaultMatrixTest):
    """Two faults in one call, drawn with a fixed seed."""

    @drawn(PAIRS)
    @given(data=st.data())
    def test_pairs(self, data):
        kind = data.draw(st.sampled_from(KINDS))
        cell = st.tuples(st.sampled_from(steps_of(kind)), st.sampled_from(list(FAULTS)))
        self.pair(kind, [data.draw(cell), data.draw(cell)])


for _name in [n for n in dir(FaultMatrixTest) if n.startswith("test_")]:
    setattr(FaultPairsTest, _name, None)
