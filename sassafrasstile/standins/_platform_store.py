"""A store that speaks the platform's protocol, for tests and the demo."""

import base64
import json
import struct

from twisted.web import server

from sassafrasstile.standins import _http_base

_HEADER = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")


class _Topic:
    """Records of key and value; old ones may be forgotten."""

    def __init__(self):
        self.records: list[tuple[str, bytes]] = []
        self.first = 0
        # The newest record of each key among those forgotten.
        self.forgotten: dict[str, tuple[bytes, int]] = {}
        self.waiting: list = []

    @property
    def end(self) -> int:
        """The offset of the next record."""
        return self.first + len(self.records)


class PlatformStoreResource(_http_base.JsonResource):
    """The store's calls on topics with keys."""

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

    def render(self, request):
        """Routes a request, or misbehaves as told."""
        self.calls += 1
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
        """Returns a topic, made on first use."""
        return self._topics.setdefault(name, _Topic())

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Appends a record."""
        item = self.get_topic(topic)
        offset = item.end
        item.records.append((key, value))
        waiting, item.waiting = item.waiting, []
        for request, start in waiting:
            self._finish_read(request, item, start)
        return offset

    def put_json(self, topic: str, key: str, document: object) -> int:
        """Appends a record that holds JSON."""
        return self.put(topic, key, json.dumps(document).encode())

    def forget(self, topic: str) -> None:
        """Forgets the history but for the newest record of each key."""
        item = self.get_topic(topic)
        newest = self._find_newest(item)
        item.forgotten = newest
        item.first = item.end
        item.records = []

    def append(self, request):
        """Handles an append of one record."""
        topic = self._argument(request, "topic")
        item = self.get_topic(topic)
        at = self._argument(request, "at")
        if at and int(at) != item.end:
            return _http_base.answer_json(request, 412, {"endOffset": item.end})
        record = request.content.read()[_LENGTH.size :]
        key_end = 1 + record[0]
        key = record[1:key_end].decode()
        offset = self.put(topic, key, record[key_end:])
        if self.loses_answers:
            request.transport.abortConnection()
            return server.NOT_DONE_YET
        return _http_base.answer_json(
            request, 200, {"offset": offset, "endOffset": item.end}
        )

    def read(self, request):
        """Handles a read, which may wait for a record."""
        item = self.get_topic(self._argument(request, "topic"))
        start = int(self._argument(request, "from"))
        if start < item.first:
            return _http_base.answer_json(
                request, 410, {"firstOffset": item.first}
            )
        wait_s = int(self._argument(request, "waitMs") or 0) / 1000
        if start < item.end or not wait_s:
            return self._encode(item, start)
        entry = (request, start)
        item.waiting.append(entry)
        _http_base.watch_peer(request)

        def end():
            if entry in item.waiting:
                item.waiting.remove(entry)
                self._finish_read(request, item, start)

        self._reactor.callLater(wait_s, end)
        return server.NOT_DONE_YET

    def read_newest(self, request):
        """Handles a read of the newest record of each key."""
        item = self.get_topic(self._argument(request, "topic"))
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (value, offset) in self._find_newest(item).items()
        ]
        return _http_base.answer_json(
            request,
            200,
            {"items": items, "hasMore": False, "endOffset": item.end},
        )

    @staticmethod
    def _find_newest(item: _Topic) -> dict[str, tuple[bytes, int]]:
        newest = dict(item.forgotten)
        for offset, (key, value) in enumerate(item.records, item.first):
            if value:
                newest[key] = (value, offset)
            else:
                newest.pop(key, None)
        return newest

    @staticmethod
    def _argument(request, name: str) -> str:
        return request.args.get(name.encode(), [b""])[0].decode()

    @staticmethod
    def _encode(item: _Topic, start: int) -> bytes:
        data = _HEADER.pack(item.end, item.first)
        for key, value in item.records[start - item.first :]:
            name = key.encode()
            record = bytes((len(name),)) + name + value
            data += _LENGTH.pack(len(record)) + record
        return data

    def _finish_read(self, request, item: _Topic, start: int) -> None:
        if not request.is_gone:
            request.write(self._encode(item, start))
            request.finish()


class PlatformStoreServer(_http_base.HttpStandin):
    """The store as a server.

    Args:
        reactor: The reactor.
    """

    def __init__(self, *, reactor):
        self.store = PlatformStoreResource(reactor=reactor)
        super().__init__(reactor=reactor, root=self.store)
