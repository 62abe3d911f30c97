"""The client of the platform's store."""

import base64
import dataclasses
import json
import logging
import struct
from urllib import parse

from twisted.internet import defer

from sassafrasstile import errors
from sassafrasstile import limits
from sassafrasstile import stores
from sassafrasstile import telemetry
from sassafrasstile import validation
from sassafrasstile import web
from sassafrasstile.platform import _names

_LOG = logging.getLogger("sassafrasstile.stores")
_CONNECT_TIMEOUT_S = 0.5
_CALL_TIMEOUT_S = 0.8
_HEADER = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")
_GONE = 410
_CONFLICT = 412
# The epoch rises by one at each restore, so that longer numbers are malformed.
_MAX_EPOCH_DIGITS = 6
_MAX_WARNINGS_PER_S = 0.2
# Records that are asked for when a page of the usual number is too large; with
# records of the largest size they stay within the bound.
_SHORT_PAGE_RECORDS = 8


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Answer:
    """A successful answer of the store.

    Attributes:
        body: The body.
        epoch: The store's epoch, or None when the answer didn't state it.
    """

    body: bytes
    epoch: int | None


def _decode_epoch(text: bytes) -> int:
    if not text.isdigit() or len(text) > _MAX_EPOCH_DIGITS:
        raise ValueError(f"malformed epoch {text[:16]!r}")
    return int(text)


def _find_lowest(epochs: list[int | None]) -> int | None:
    """Returns the lowest epoch that is known, or None."""
    return min((item for item in epochs if item is not None), default=None)


def _decode_records(
    body: bytes, *, offset: int
) -> tuple[list[stores.Change], int]:
    """Decodes records, each as length, key length, key and value.

    Returns:
        The changes, and the offset behind the last record. Records that have
        no key are left out.
    """
    changes = []
    position = _HEADER.size
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        record = body[position : position + length]
        if len(record) != length:
            raise ValueError(f"record {offset} is truncated")
        position += length
        change = _decode_record(record, offset=offset)
        if change is not None:
            changes.append(change)
        offset += 1
    return changes, offset


def _decode_record(record: bytes, *, offset: int) -> stores.Change | None:
    key_end = 1 + (record[0] if record else 0)
    if not 1 < key_end <= len(record):
        _LOG.warning("store: record %d has no key.", offset)
        return None
    return stores.Change(
        key=record[1:key_end].decode("utf-8", "replace"),
        value=record[key_end:] or None,
        offset=offset,
    )


def _decode_items(items: list) -> list[stores.Change]:
    """Decodes the newest records of keys; leaves out what isn't one."""
    changes = []
    for item in items:
        try:
            change = stores.Change(
                key=str(item["key"]),
                value=base64.b64decode(item["value"]) or None,
                offset=int(item["offset"]),
            )
        except validation.DOCUMENT_ERRORS as reason:
            _LOG.warning("store: record ignored: %.200r", reason)
            continue
        changes.append(change)
    return changes


class PlatformStore(stores.Store):
    """Reads and appends keyed records in the platform's store.

    Args:
        reactor: The reactor.
        host: The store's IP address.
        port: The store's port.
        metrics: Counts the calls by outcome.
        bounds: Bounds on what is read.
    """

    def __init__(
        self,
        *,
        reactor,
        host: str,
        port: int,
        metrics: telemetry.RouterMetrics,
        bounds: web.ReadBounds = web.DEFAULT_BOUNDS,
    ):
        self._reactor = reactor
        self._metrics = metrics
        self._host = f"{host}:{port}".encode()
        self._pool = web.ConnectionPool(
            reactor=reactor,
            host=host,
            port=port,
            connect_timeout_s=_CONNECT_TIMEOUT_S,
            bounds=bounds,
            on_exceeded=self._record_exceeded,
        )
        self._warnings = limits.TokenBucket(rate_per_s=_MAX_WARNINGS_PER_S)

    def load(self, topic: str) -> defer.Deferred:
        """Reads the newest record of each key."""
        return defer.ensureDeferred(self._load(topic))

    def follow(
        self, topic: str, *, offset: int, wait_s: float
    ) -> defer.Deferred:
        """Reads the records starting at an offset."""
        return defer.ensureDeferred(self._follow(topic, offset, wait_s))

    def put(
        self, topic: str, *, key: str, value: bytes, at: int | None = None
    ) -> defer.Deferred:
        """Appends a record."""
        return defer.ensureDeferred(self._put(topic, key, value, at))

    def close(self) -> None:
        """Aborts all connections."""
        self._pool.abort()

    async def _load(self, topic: str) -> stores.Snapshot:
        entries: list[stores.Change] = []
        next_offset: int | None = None
        epochs: list[int | None] = []
        query = {"topic": topic, "part": 0}
        while True:
            answer = await self._get(_names.NEWEST_PATH, query, _CALL_TIMEOUT_S)
            epochs.append(answer.epoch)
            try:
                page = json.loads(answer.body)
                entries.extend(_decode_items(page["items"]))
                if next_offset is None:
                    # Later pages may include newer records. Following from the
                    # first page's end offset misses none of them.
                    next_offset = int(page["endOffset"])
                if not page.get("hasMore"):
                    break
                last_key = str(page["items"][-1]["key"])
                if last_key == query.get("after"):
                    raise ValueError("a page repeats the one before")
                query["after"] = last_key
            except validation.DOCUMENT_ERRORS as reason:
                raise self._make_error(
                    f"malformed response: {reason}", epoch=answer.epoch
                ) from reason
        # If the store was restored between two pages, the entries are as old as
        # the first of them.
        return stores.Snapshot(
            entries=tuple(entries),
            next_offset=next_offset,
            epoch=_find_lowest(epochs),
        )

    async def _follow(
        self, topic: str, offset: int, wait_s: float
    ) -> stores.ChangePage:
        query = {
            "topic": topic,
            "part": 0,
            "from": offset,
            "waitMs": int(wait_s * 1000),
        }
        answer = await self._read_page(query, wait_s + _CALL_TIMEOUT_S)
        try:
            end_offset, _ = _HEADER.unpack_from(answer.body)
            changes, next_offset = _decode_records(answer.body, offset=offset)
        except validation.DOCUMENT_ERRORS as reason:
            raise self._make_error(
                f"malformed response: {reason}", epoch=answer.epoch
            ) from reason
        return stores.ChangePage(
            changes=tuple(changes),
            next_offset=next_offset,
            epoch=answer.epoch,
            end_offset=end_offset,
        )

    async def _read_page(self, query: dict, timeout_s: float) -> _Answer:
        """Reads records; fewer at once if a page of them is too large."""
        try:
            return await self._get(_names.READ_PATH, query, timeout_s)
        except stores.StoreError as reason:
            if reason.code != errors.Code.ANSWER_TOO_LARGE:
                raise
        query = {**query, "maxSize": _SHORT_PAGE_RECORDS}
        return await self._get(_names.READ_PATH, query, timeout_s)

    async def _put(
        self, topic: str, key: str, value: bytes, at: int | None
    ) -> stores.AppendedRecord:
        fields = {"topic": topic, "part": 0}
        if at is not None:
            fields["at"] = at
        query = parse.urlencode(fields).encode()
        encoded_key = key.encode()
        record = bytes((len(encoded_key),)) + encoded_key + value
        answer = await self._call(
            b"POST",
            _names.APPEND_PATH + b"?" + query,
            timeout_s=_CALL_TIMEOUT_S,
            body=_LENGTH.pack(len(record)) + record,
        )
        try:
            offset = int(json.loads(answer.body)["offset"])
        except validation.DOCUMENT_ERRORS as reason:
            raise self._make_error(
                f"malformed response: {reason}", epoch=answer.epoch
            ) from reason
        return stores.AppendedRecord(offset=offset, epoch=answer.epoch)

    async def _get(self, path: bytes, query: dict, timeout_s: float) -> _Answer:
        # A key may hold what can't be encoded otherwise.
        text = parse.urlencode(query, errors="surrogateescape")
        target = path + b"?" + text.encode()
        return await self._call(b"GET", target, timeout_s=timeout_s)

    async def _call(
        self, method: bytes, target: bytes, *, timeout_s: float, body=b""
    ) -> _Answer:
        calling = defer.ensureDeferred(self._exchange(method, target, body))
        calling.addTimeout(timeout_s, self._reactor)
        try:
            head, content = await calling
        except web.ExchangeError as reason:
            code = errors.Code.STORE_UNAVAILABLE
            if isinstance(reason, web.BoundExceededError):
                code = reason.code
            raise self._make_error(reason.detail, code=code) from reason
        except defer.TimeoutError as reason:
            raise self._make_error("no response before the timeout") from reason
        epoch = self._read_epoch(head)
        if head.status == _GONE:
            raise self._make_error(
                "the store doesn't have the records at this offset",
                code=errors.Code.HISTORY_GONE,
                epoch=epoch,
            )
        if head.status == _CONFLICT:
            raise self._make_error(
                "the topic doesn't end at the expected offset",
                code=errors.Code.CONFLICT,
                epoch=epoch,
            )
        if head.status != 200:
            raise self._make_error(f"status {head.status}", epoch=epoch)
        self._metrics.store_calls.labels("ok").inc()
        return _Answer(body=content, epoch=epoch)

    def _read_epoch(self, head: web.ResponseHead) -> int | None:
        """Returns the store's epoch, or None if it is missing or malformed."""
        text = head.get(_names.STORE_ERA.lower())
        if text is None:
            return None
        try:
            return _decode_epoch(text)
        except ValueError as reason:
            if self._warnings.take(1, self._reactor.seconds()):
                _LOG.warning("store: header ignored: %s", reason)
            return None

    async def _exchange(
        self, method: bytes, target: bytes, body: bytes
    ) -> tuple[web.ResponseHead, bytes]:
        reply = await self._pool.send(
            method=method,
            target=target,
            headers=[(b"Host", self._host)],
            body=body,
        )
        try:
            head = await reply.read_head()
            return head, await reply.read_body(web.ReadKind.STORE)
        finally:
            reply.close()

    def _record_exceeded(self, kind: web.ReadKind) -> None:
        self._metrics.reads_too_large.labels(kind).inc()
        if self._warnings.take(1, self._reactor.seconds()):
            _LOG.warning("store: sent more than the bound on its %s.", kind)

    def _make_error(
        self,
        detail: str,
        *,
        code=errors.Code.STORE_UNAVAILABLE,
        epoch: int | None = None,
    ) -> stores.StoreError:
        self._metrics.store_calls.labels(code).inc()
        return stores.StoreError(code=code, detail=detail, epoch=epoch)
