"""Records that another writer may leave in the store's topics."""

import json

_DEEP = b"[" * 100_000


def _change(document: dict, **changes) -> bytes:
    return json.dumps({**document, **changes}).encode()


def _replace(document: dict, field: str, raw: bytes) -> bytes:
    """Returns a document with a value that Python's encoder doesn't write."""
    marker = json.dumps("marker").encode()
    return _change(document, **{field: "marker"}).replace(marker, raw)


def make_odd_endpoints(sound: dict) -> dict[str, bytes]:
    """Returns records that aren't an endpoint's, by key.

    Args:
        sound: The document of an endpoint; each record differs from it in
            one thing.
    """
    digits = b"9" * 400
    host, _, port = sound["address"].partition(":")
    addresses = (
        f"{host}:99999",
        f"{host}:-5",
        f"{host}:0",
        f"{host}:" + "9" * 4000,
        f"no.such.host:{port}",
        f"{host}\r\nX-Odd: 1:{port}",
        f"0.0.0.0:{port}",
        port,
        "",
    )
    records = {
        f"address-{number}": _change(sound, address=address)
        for number, address in enumerate(addresses)
    }
    for field, document in sound.items():
        records[f"deep-{field}"] = _replace(sound, field, _DEEP)
        records[f"list-{field}"] = _change(sound, **{field: [document]})
        records[f"long-{field}"] = _change(sound, **{field: "x" * 100_000})
    for field in ("slots", "born", "sequence"):
        for name, raw in (
            ("digits", digits),
            ("infinite", b"1e999"),
            ("nan", b"NaN"),
            ("negative", b"-7"),
            ("true", b"true"),
        ):
            records[f"{name}-{field}"] = _replace(sound, field, raw)
    records |= {
        "deep": _DEEP,
        "bytes": b"\xff\x00",
        "null": b"null",
        "no-slots": _change(sound, slots=0),
        "state": _change(sound, state="odd"),
        "stage": _change(sound, stage="odd"),
        "odd id\r\nX-Odd: 1": _change(sound),
        "\u00e9\ufffd": _change(sound),
    }
    return records


# Records that aren't the address of a gateway, by key.
ODD_GATEWAYS = {
    "port": b'["port","127.0.0.1",99999,"a"]',
    "negative": b'["negative","127.0.0.1",-5,"a"]',
    "infinite": b'["infinite","127.0.0.1",1e999,"a"]',
    "digits": b'["digits","127.0.0.1",' + b"9" * 400 + b',"a"]',
    "host": b'["host","no.such.host",9,"a"]',
    "zone": b'["zone","127.0.0.1",9,{"a":1}]',
    "name": b'["\\ud800","127.0.0.1",9,"a"]',
    "other": b'["g1","127.0.0.1",9,"a"]',
    "number": b"7",
    "table": b'{"a":1}',
    "deep": _DEEP,
    "bytes": b"\xff\x00",
}
# Records that name no holder of the lease.
ODD_LEASES = (_DEEP, b"9" * 400, b'{"a":1}', b"\xff", b'"\\ud800"')
