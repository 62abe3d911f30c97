import unittest
from unittest import mock

from sassafrasstile.forwarding import _events

_MB = 1 << 20


class EventSplitterTest(unittest.TestCase):
    """Splitting in proportion to the bytes, and the bound on an event."""

    def split(self, data, *, size, max_event_bytes=1000):
        splitter = _events.EventSplitter(max_event_bytes=max_event_bytes)
        events = []
        for begin in range(0, len(data), size):
            events += splitter.feed(data[begin : begin + size])
        return splitter, [event.data for event in events]

    def test_events_do_not_depend_on_the_pieces(self):
        expected = [
            b"id: 1\n\n",
            b"\n\n",
            b"a\r\n\r\n",
            b"\n\r\n\r\n",
            b"b\n\n",
        ]
        for size in range(1, 30):
            with self.subTest(size=size):
                splitter, events = self.split(b"".join(expected), size=size)
                self.assertEqual(events, expected)
                self.assertTrue(splitter.is_empty)

    # A newline after an event belongs to the next one.
    def test_the_end_of_an_event_is_not_part_of_the_next_end(self):
        splitter, events = self.split(b"a\n\n\nb\n\n", size=9)
        self.assertEqual(events, [b"a\n\n", b"\nb\n\n"])

    # The unfinished event was searched from its start at each chunk.
    def test_each_byte_is_searched_once(self):
        searched = []
        find = _events._find_line_end

        def count(data, begin):
            end = find(data, begin)
            searched.append((len(data) if end < 0 else end) - begin)
            return end

        line = b"x" * 4000 + b"\n"
        for data in (b"x" * _MB, line * 200, (line + b"\n") * 200):
            searched.clear()
            with (
                self.subTest(begin=data[:9], lines=data.count(b"\n")),
                mock.patch.object(_events, "_find_line_end", count),
            ):
                self.split(data, size=1000, max_event_bytes=2 * _MB)
                self.assertEqual(sum(searched), len(data))

    def test_bound_on_an_event(self):
        for size in (1, 7, 100):
            with self.subTest(size=size):
                splitter, events = self.split(
                    b"12345678\n\n", size=size, max_event_bytes=10
                )
                self.assertEqual(events, [b"12345678\n\n"])
                self.assertFalse(splitter.is_exceeded)
        for data in (b"123456789\n\nb\n\n", b"x" * 50):
            for size in (1, 7, 100):
                with self.subTest(data=data, size=size):
                    splitter, events = self.split(
                        b"a\n\n" + data, size=size, max_event_bytes=10
                    )
                    self.assertEqual(events, [b"a\n\n"])
                    self.assertTrue(splitter.is_exceeded)
                    self.assertTrue(splitter.is_empty)
                    self.assertEqual(splitter.feed(b"c\n\n"), [])
