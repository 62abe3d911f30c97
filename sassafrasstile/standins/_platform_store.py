"""A store that speaks the platform's protocol, for tests and the demo."""

import base64
from collections.abc import Mapping
import copy
import dataclasses
import json
import struct

from twisted.web import server

from sassafrasstile.standins import _http_base

_MAX_PAGE_RECORDS = 1024
_READ_HEADER = struct.Struct(">QQ")
_RECORD_LENGTH = struct.Struct(">I")
_ERA_HEADER = b"Store-Era"


class _Topic:
    """Records of keys and values, the oldest of which may be compacted."""

    def __init__(self):
        self.records: list[tuple[str, bytes]] = []
        self.first_offset = 0
        # The value and offset of the newest compacted record of each key.
        self.compacted_records: dict[str, tuple[bytes, int]] = {}
        self.pending_reads: list = []

    @property
    def end_offset(self) -> int:
        """The offset of the next record."""
        return self.first_offset + len(self.records)


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoreCopy:
    """The records of all topics at some time.

    Attributes:
        topics: The topics by name.
    """

    topics: Mapping[str, _Topic]


class PlatformStoreResource(_http_base.JsonResource):
    """Serves the store's calls on keyed topics and injects faults.

    Attributes:
        calls: The number of calls received.
        outage: `busy` answers 503, `reset` resets connections, `silent`
            doesn't answer; empty when the store is available.
        loses_answers: True when the answers to appends are lost.
        era: The number sent with each answer, which rises with each restore.
        stated_era: Sent in place of the era when it isn't None; when it is
            empty, no era is sent.
    """

    routes = {
        ("POST", "/sassafrasstile/log-append"): "append",
        ("GET", "/sassafrasstile/log-read"): "read",
        ("GET", "/sassafrasstile/log-newest"): "read_newest",
    }

    def __init__(self, *, reactor):
        super().__init__()
        self._reactor = reactor
        self._topics: dict[str, _Topic] = {}
        self.calls = 0
        self.outage = ""
        self.loses_answers = False
        self.era = 1
        self.stated_era: str | None = None

    def render(self, request):
        """Handles a request, or fails it during an injected outage."""
        self.calls += 1
        self._state_era(request)
        match self.outage:
            case "busy":
                return _http_base.answer_json(request, 503, {})
            case "reset":
                request.transport.abortConnection()
                return server.NOT_DONE_YET
            case "silent":
                return server.NOT_DONE_YET
        return super().render(request)

    def get_topic(self, name: str) -> _Topic:
        """Returns a topic, which is created on first use."""
        return self._topics.setdefault(name, _Topic())

    def put(self, topic_name: str, key: str, value: bytes) -> int:
        """Appends a record."""
        topic = self.get_topic(topic_name)
        offset = topic.end_offset
        topic.records.append((key, value))
        pending_reads, topic.pending_reads = topic.pending_reads, []
        for request, start in pending_reads:
            self._finish_read(request, topic, start)
        return offset

    def put_json(self, topic_name: str, key: str, document: object) -> int:
        """Appends a record with a JSON value."""
        return self.put(topic_name, key, json.dumps(document).encode())

    def compact(self, topic_name: str) -> None:
        """Deletes the history except for the newest record of each key."""
        topic = self.get_topic(topic_name)
        newest = self._find_newest(topic)
        topic.compacted_records = newest
        topic.first_offset = topic.end_offset
        topic.records = []

    def make_copy(self) -> StoreCopy:
        """Returns a copy of all records, for `restore`."""
        return StoreCopy(
            topics={
                name: self._copy_topic(topic)
                for name, topic in self._topics.items()
            }
        )

    def restore(self, former: StoreCopy) -> dict[str, list[tuple[str, bytes]]]:
        """Restores the records of a copy, which raises the era.

        Offsets after the copy's are given out again. Connections on which a
        read waits are reset.

        Args:
            former: The copy.

        Returns:
            The keys and values of the records that are lost, by topic.
        """
        lost = {}
        for name, topic in self._topics.items():
            start = self._get_end(former, name) - topic.first_offset
            lost[name] = topic.records[max(0, start) :]
            for request, _ in topic.pending_reads:
                request.transport.abortConnection()
        self._topics = {
            name: self._copy_topic(topic)
            for name, topic in former.topics.items()
        }
        self.era += 1
        return lost

    @staticmethod
    def _copy_topic(topic: _Topic) -> _Topic:
        copied = copy.copy(topic)
        copied.records = list(topic.records)
        copied.compacted_records = dict(topic.compacted_records)
        copied.pending_reads = []
        return copied

    @staticmethod
    def _get_end(former: StoreCopy, name: str) -> int:
        topic = former.topics.get(name)
        return 0 if topic is None else topic.end_offset

    def _state_era(self, request) -> None:
        era = str(self.era) if self.stated_era is None else self.stated_era
        if era:
            request.setHeader(_ERA_HEADER, era.encode())

    def append(self, request):
        """Handles an append of one record."""
        topic_name = self._get_argument(request, "topic")
        topic = self.get_topic(topic_name)
        at = self._get_argument(request, "at")
        if at and int(at) != topic.end_offset:
            return _http_base.answer_json(
                request, 412, {"endOffset": topic.end_offset}
            )
        record = request.content.read()[_RECORD_LENGTH.size :]
        key_end = 1 + record[0]
        key = record[1:key_end].decode()
        offset = self.put(topic_name, key, record[key_end:])
        if self.loses_answers:
            request.transport.abortConnection()
            return server.NOT_DONE_YET
        return _http_base.answer_json(
            request, 200, {"offset": offset, "endOffset": topic.end_offset}
        )

    def read(self, request):
        """Handles a read, which may wait for a record."""
        topic = self.get_topic(self._get_argument(request, "topic"))
        start = int(self._get_argument(request, "from"))
        if not topic.first_offset <= start <= topic.end_offset:
            return _http_base.answer_json(
                request, 410, {"firstOffset": topic.first_offset}
            )
        wait_s = int(self._get_argument(request, "waitMs") or 0) / 1000
        if start < topic.end_offset or not wait_s:
            return self._encode_records(request, topic, start)
        entry = (request, start)
        topic.pending_reads.append(entry)
        _http_base.track_disconnect(request)

        def finish_wait():
            if entry in topic.pending_reads:
                topic.pending_reads.remove(entry)
                self._finish_read(request, topic, start)

        self._reactor.callLater(wait_s, finish_wait)
        return server.NOT_DONE_YET

    def read_newest(self, request):
        """Handles a read of the newest record of each key."""
        topic = self.get_topic(self._get_argument(request, "topic"))
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (value, offset) in self._find_newest(topic).items()
        ]
        return _http_base.answer_json(
            request,
            200,
            {"items": items, "hasMore": False, "endOffset": topic.end_offset},
        )

    @staticmethod
    def _find_newest(topic: _Topic) -> dict[str, tuple[bytes, int]]:
        newest = dict(topic.compacted_records)
        for offset, (key, value) in enumerate(
            topic.records, topic.first_offset
        ):
            if value:
                newest[key] = (value, offset)
            else:
                newest.pop(key, None)
        return newest

    @staticmethod
    def _get_argument(request, name: str) -> str:
        return request.args.get(name.encode(), [b""])[0].decode()

    def _encode_records(self, request, topic: _Topic, start: int) -> bytes:
        count = int(self._get_argument(request, "maxSize") or _MAX_PAGE_RECORDS)
        first = start - topic.first_offset
        data = _READ_HEADER.pack(topic.end_offset, topic.first_offset)
        for key, value in topic.records[first : first + count]:
            name = key.encode()
            record = bytes((len(name),)) + name + value
            data += _RECORD_LENGTH.pack(len(record)) + record
        return data

    def _finish_read(self, request, topic: _Topic, start: int) -> None:
        if not request.is_disconnected:
            request.write(self._encode_records(request, topic, start))
            request.finish()


class PlatformStoreServer(_http_base.HttpStandin):
    """The store as a server.

    Args:
        reactor: The reactor.
    """

    def __init__(self, *, reactor):
        self.store = PlatformStoreResource(reactor=reactor)
        super().__init__(reactor=reactor, root=self.store)
