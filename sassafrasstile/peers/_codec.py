"""Encodes load reports as JSON datagrams, and addresses for the store."""

import json

from sassafrasstile import errors
from sassafrasstile import validation
from sassafrasstile.peers import _base
from sassafrasstile.peers import _queue_codec

_MS_PER_S = 1000
_US_PER_S = 1_000_000


def encode_address(address: _base.PeerAddress) -> bytes:
    """Returns an address as it is stored in the peer topic."""
    return json.dumps(_list_fields(address)).encode()


def _list_fields(address: _base.PeerAddress) -> list:
    return [address.name, address.host, address.port, address.zone]


def _read_fields(fields: list) -> _base.PeerAddress:
    """Returns an address; gateways of the last version write no zone.

    Raises:
        errors.Error: With BAD_VALUE when no datagram can be sent there.
        ValueError: There are too few fields.
        TypeError: They aren't a list.
    """
    name, host, port, *zones = fields
    zone = zones[0] if zones else ""
    if zone != "":
        validation.check_token(zone, label="zone")
    return _base.PeerAddress(
        name=validation.check_token(name, label="gateway"),
        host=validation.check_ip_address(host, label="host"),
        port=validation.check_port(port, label="port"),
        zone=zone,
    )


def _read_number(value: object) -> int | None:
    return None if value is None else int(value)


def decode_address(data: bytes) -> _base.PeerAddress:
    """Decodes an address.

    Raises:
        errors.Error: With BAD_VALUE when it is malformed.
    """
    try:
        return _read_fields(json.loads(data))
    except validation.DOCUMENT_ERRORS as reason:
        raise errors.Error(
            code=errors.Code.BAD_VALUE, detail=f"peer address: {reason}"
        ) from reason


def encode_report(report: _base.LoadReport) -> bytes:
    """Encodes a report as a datagram.

    >>> report = _base.LoadReport(
    ...     sender=_base.PeerAddress(name="a", host="127.0.0.1", port=1),
    ...     incarnation="x", sequence=3, is_complete=True,
    ...     loads={"e": _base.EndpointLoad(in_flight=1)},
    ...     speeds=(_base.SpeedReport(
    ...         endpoint_id="e", started_ms=5, kind="prefill", work=5000.0,
    ...         seconds=0.125, age_s=0.25),),
    ...     is_leaving=True)
    >>> decode_report(encode_report(report)) == report
    True
    """
    sender = report.sender
    rows = [
        [
            name,
            load.in_flight,
            load.reserved_tokens,
            load.prefill_tokens,
            int(load.is_changing),
            int(load.is_unreachable),
        ]
        for name, load in report.loads.items()
    ]
    fields = [
        _list_fields(sender),
        report.incarnation,
        report.sequence,
        int(report.is_complete),
        rows,
        [
            [name, end.next_offset, round(end.age_s * _MS_PER_S), end.epoch]
            for name, end in report.topics.items()
        ],
        [
            [
                item.prompt_id,
                round(item.age_s * _MS_PER_S),
                round(item.remaining_s * _MS_PER_S),
            ]
            for item in report.refusals
        ],
        report.configuration_version,
    ]
    # Left out where they are empty: former versions reject further fields.
    has_queue = report.is_leaving or not report.queue.is_empty
    if report.speeds or has_queue:
        fields.append(_list_speeds(report.speeds))
    if has_queue:
        fields.append(_queue_codec.encode_queue(report.queue))
    if report.is_leaving:
        fields.append(int(report.is_leaving))
    return json.dumps(fields, separators=(",", ":")).encode()


def _list_speeds(speeds: tuple[_base.SpeedReport, ...]) -> list:
    return [
        [
            item.endpoint_id,
            item.started_ms,
            item.kind,
            round(item.work, 1),
            round(item.seconds * _US_PER_S),
            round(item.age_s * _MS_PER_S),
        ]
        for item in speeds
    ]


def _read_speeds(rows: list) -> tuple[_base.SpeedReport, ...]:
    return tuple(
        _base.SpeedReport(
            endpoint_id=str(endpoint),
            started_ms=int(started_ms),
            kind=str(kind),
            work=float(work),
            seconds=int(taken_us) / _US_PER_S,
            age_s=int(age_ms) / _MS_PER_S,
        )
        for endpoint, started_ms, kind, work, taken_us, age_ms in rows
    )


def decode_report(data: bytes) -> _base.LoadReport:
    """Decodes a datagram.

    Raises:
        errors.Error: With BAD_VALUE when it is malformed.
    """
    try:
        (
            sender,
            incarnation,
            sequence,
            is_complete,
            rows,
            ends,
            refusals,
            configuration_version,
            *optional,
        ) = json.loads(data)
        topics = {
            str(topic): _base.TopicEndReport(
                next_offset=int(next_offset),
                age_s=int(age_ms) / _MS_PER_S,
                epoch=_read_number(epoch),
            )
            for topic, next_offset, age_ms, epoch in ends
        }
        loads = {
            str(endpoint): _base.EndpointLoad(
                in_flight=int(in_flight),
                reserved_tokens=int(reserved),
                prefill_tokens=int(prefill),
                is_changing=bool(changing),
                is_unreachable=bool(unreachable),
            )
            for (
                endpoint,
                in_flight,
                reserved,
                prefill,
                changing,
                unreachable,
            ) in rows
        }
        return _base.LoadReport(
            sender=_read_fields(sender),
            incarnation=str(incarnation),
            sequence=int(sequence),
            is_complete=bool(is_complete),
            loads=loads,
            topics=topics,
            refusals=tuple(
                _base.PromptRefusal(
                    prompt_id=str(prompt_id),
                    age_s=int(age_ms) / _MS_PER_S,
                    remaining_s=int(remaining_ms) / _MS_PER_S,
                )
                for prompt_id, age_ms, remaining_ms in refusals
            ),
            configuration_version=_read_number(configuration_version),
            speeds=_read_speeds(optional[0]) if optional else (),
            queue=(
                _queue_codec.decode_queue(optional[1])
                if len(optional) > 1
                else _base.QueueReport()
            ),
            is_leaving=bool(optional[2]) if len(optional) > 2 else False,
        )
    except validation.DOCUMENT_ERRORS as reason:
        raise errors.Error(
            code=errors.Code.BAD_VALUE, detail=f"load report: {reason}"
        ) from reason


# The first field of a datagram that holds a page; a report begins with a list.
_PAGE_TAG = "page"


def is_page(data: bytes) -> bool:
    """Returns whether a datagram holds a page rather than a report."""
    return data.startswith(b'["' + _PAGE_TAG.encode() + b'"')


def encode_page(page: _base.TopicPage) -> bytes:
    """Encodes a page as a datagram.

    >>> record = _base.TopicRecord(key="e", value=b"x", offset=4)
    >>> page = _base.TopicPage(
    ...     topic="t", offset=4, next_offset=5, records=(record,), epoch=2)
    >>> is_page(encode_page(page)), decode_page(encode_page(page)) == page
    (True, True)
    """
    rows = [
        [
            record.key,
            None if record.value is None else record.value.decode("latin-1"),
            record.offset,
        ]
        for record in page.records
    ]
    fields = [
        _PAGE_TAG,
        page.topic,
        page.offset,
        page.next_offset,
        rows,
        page.epoch,
    ]
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_page(data: bytes) -> _base.TopicPage:
    """Decodes a page.

    Raises:
        errors.Error: With BAD_VALUE when it is malformed.
    """
    try:
        _, topic, offset, next_offset, rows, epoch = json.loads(data)
        return _base.TopicPage(
            topic=str(topic),
            offset=int(offset),
            next_offset=int(next_offset),
            records=tuple(
                _base.TopicRecord(
                    key=str(key),
                    value=None if value is None else value.encode("latin-1"),
                    offset=int(at),
                )
                for key, value, at in rows
            ),
            epoch=_read_number(epoch),
        )
    except validation.DOCUMENT_ERRORS as reason:
        raise errors.Error(
            code=errors.Code.BAD_VALUE, detail=f"page: {reason}"
        ) from reason


# The first field of a datagram that holds a message; its payload follows the
# first line.
_MESSAGE_TAG = "message"


def is_message(data: bytes) -> bool:
    """Returns whether a datagram holds a message to this gateway alone."""
    return data.startswith(b'["' + _MESSAGE_TAG.encode() + b'"')


def encode_message(message: _base.PeerMessage) -> bytes:
    """Encodes a message as a datagram.

    >>> sender = _base.PeerAddress(name="a", host="127.0.0.1", port=1)
    >>> message = _base.PeerMessage(sender=sender, payload=b"x")
    >>> data = encode_message(message)
    >>> is_message(data), decode_message(data) == message
    (True, True)
    """
    fields = [_MESSAGE_TAG, *_list_fields(message.sender)]
    head = json.dumps(fields, separators=(",", ":"))
    return head.encode() + b"\n" + message.payload


def decode_message(data: bytes) -> _base.PeerMessage:
    """Decodes a message.

    Raises:
        errors.Error: With BAD_VALUE when it is malformed.
    """
    head, _, payload = data.partition(b"\n")
    try:
        _, *sender = json.loads(head)
        return _base.PeerMessage(sender=_read_fields(sender), payload=payload)
    except validation.DOCUMENT_ERRORS as reason:
        raise errors.Error(
            code=errors.Code.BAD_VALUE, detail=f"message: {reason}"
        ) from reason
