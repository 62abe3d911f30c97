import logging
import os
import unittest

import prometheus_client

from sassafrasstile import telemetry


class BoundedLogTest(unittest.TestCase):
    """Tests that writing log lines never blocks."""

    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.dropped = prometheus_client.Counter(
            "dropped",
            "Dropped.",
            registry=prometheus_client.CollectorRegistry(),
        )
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)

    def make_logger(self, lines_per_s):
        handler = telemetry.BoundedStreamHandler(
            descriptor=self.writer,
            dropped=self.dropped,
            lines_per_s=lines_per_s,
        )
        logger = logging.Logger("bounded")
        logger.addHandler(handler)
        return logger

    def count_dropped(self):
        return self.dropped._value.get()

    def test_lines_beyond_the_rate_are_dropped_and_counted(self):
        logger = self.make_logger(10.0)
        for number in range(50):
            logger.info("line %d", number)
        written = os.read(self.reader, 65536).count(b"\n")
        self.assertEqual(written + self.count_dropped(), 50)
        self.assertGreaterEqual(self.count_dropped(), 30)

    def test_warnings_are_written_beyond_the_rate(self):
        logger = self.make_logger(1.0)
        for number in range(5):
            logger.warning("line %d", number)
        self.assertEqual(os.read(self.reader, 65536).count(b"\n"), 5)

    # Guards against requests and topics that fail since a value of another
    # writer can't be logged (issue 56).
    def test_value_that_cannot_be_written_fails_nothing(self):
        logger = self.make_logger(10.0)
        logger.warning("odd %s", "\ud800")
        logger.warning("odd %d", 1 << 20000)
        logger.warning("sound")
        lines = os.read(self.reader, 65536).splitlines()
        self.assertEqual((len(lines), lines[-1]), (3, b"sound"))
        self.assertIn(b"test_bounded_logs:", lines[0])

    def test_stalled_reader_does_not_block_the_writer(self):
        logger = self.make_logger(1e9)
        for _ in range(2000):
            logger.info("x" * 100)
        self.assertGreater(self.count_dropped(), 0)
        received = os.read(self.reader, 1 << 20)
        lines = received.split(b"\n")
        self.assertEqual(set(lines[:-1]), {b"x" * 100})
        # The truncated line continues where it ended.
        logger.info("last")
        remaining = lines[-1] + os.read(self.reader, 1 << 20)
        self.assertEqual(
            [line for line in remaining.split(b"\n") if line],
            [b"x" * 100, b"last"],
        )
