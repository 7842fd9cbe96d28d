"""The log writer bounds rate and memory and never blocks."""

from __future__ import annotations

import json
import os

from testtools import TestCase
from twisted.internet.task import Clock
from twisted.logger import Logger
from twisted.logger import LogPublisher
from twisted.python.failure import Failure

from primrosescale.process.entry.log_writer import MAX_BUFFER_BYTES
from primrosescale.process.entry.log_writer import MAX_BURST_LINES
from primrosescale.process.entry.log_writer import FailureObserver
from primrosescale.process.entry.log_writer import LogWriter
from primrosescale.process.events import Event
from primrosescale.process.events import EventLog


class FailureObserverTest(TestCase):
    def test_failures_logged_by_twisted_become_numbered_events(self):
        emitted = []
        log = EventLog("r1")
        log.emit = lambda event, **details: emitted.append((event, details))
        observer = FailureObserver(log)
        publisher = LogPublisher(observer)
        logger = Logger(observer=publisher)
        logger.info("all is well")
        logger.failure("while doing something", failure=Failure(KeyError("lost")))
        [(event, details)] = emitted
        self.assertEqual(Event.LOOP_FAILED, event)
        self.assertIn("KeyError", details["detail"])


class LogWriterTest(TestCase):
    def setUp(self):
        super().setUp()
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        os.set_blocking(self.reader, False)
        self.clock = Clock()
        self.log = LogWriter(self.clock, self.writer)

    def line(self, event, **fields):
        self.log({"number": event.value, "task_uuid": "x", **fields})

    def read(self):
        text = b""
        while True:
            try:
                text += os.read(self.reader, 1 << 20)
            except BlockingIOError:
                return text

    def test_a_line_is_json_without_the_fields_of_eliot(self):
        self.line(Event.REQUEST_ENDED, request="r1")
        self.assertEqual({"number": 202, "request": "r1"}, json.loads(self.read()))

    def test_lines_over_the_rate_limit_are_dropped_and_counted(self):
        for _ in range(int(MAX_BURST_LINES) + 50):
            self.line(Event.REQUEST_ENDED)
            self.read()
        self.assertEqual(50, self.log.take_dropped())
        self.assertEqual(0, self.log.take_dropped())
        self.clock.advance(1)
        self.line(Event.REQUEST_ENDED)
        self.assertEqual(1, self.read().count(b"\n"))

    def test_lines_about_the_process_are_exempt_from_the_rate_limit(self):
        for _ in range(int(MAX_BURST_LINES) + 50):
            self.line(Event.READINESS_CHANGED)
            self.read()
        self.assertEqual(0, self.log.take_dropped())

    def test_a_stalled_reader_costs_bounded_memory_and_never_blocks(self):
        for _ in range(400):
            self.line(Event.READINESS_CHANGED, text="x" * 4000)
        self.assertTrue(self.log.take_dropped() > 0)
        held = b""
        for _ in range(100):
            held += self.read()
            self.clock.advance(0.05)
        self.assertTrue(MAX_BUFFER_BYTES // 2 < len(held) < MAX_BUFFER_BYTES + 200_000)
        for line in held.splitlines():
            json.loads(line)
