"""Data types of crashes and of the requests that may have caused them."""

import dataclasses
import hashlib

# Longer names are replaced by a digest of this many bytes.
MAX_KEY_CHARS = 40
_DIGEST_BYTES = 8
# Parts of a prompt beyond this many are ignored.
MAX_PARTS = 16


def make_key(service: str, part_id: str) -> str:
    """Returns the key of a part of a prompt for a service.

    Callers choose the ids of parts, so the length of a key is bounded.

    >>> make_key("writer", "5c1e07a2")
    'writer/5c1e07a2'
    >>> len(make_key("writer", "x" * 1000))
    16
    """
    key = f"{service}/{part_id}"
    if len(key) <= MAX_KEY_CHARS and key.isascii() and key.isprintable():
        return key
    return _make_digest(key)


def _make_digest(text: str) -> str:
    data = text.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).hexdigest()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Content:
    """What identifies a request and those that share parts with it.

    Attributes:
        identity: The digest of all that it holds, the same each time that it
            is repeated; empty if nothing is known of it.
        shared: The keys of the parts that other requests may have, too.
    """

    identity: str
    shared: frozenset[str]


def make_prompt(
    service: str, part_ids: tuple[str, ...], *, owner: str = ""
) -> Content:
    """Returns the content of a generation: its prompt.

    The last part belongs to this prompt or to its session.

    Args:
        service: The name of the service that it is for.
        part_ids: The ids of its parts in order.
        owner: The workspace that it belongs to, or an empty string for none.
            Prompts of different ones have nothing in common.

    >>> prompt = make_prompt("s", ("system", "session", "turn"))
    >>> len(prompt.identity), sorted(prompt.shared)
    (16, ['s/session', 's/system'])
    """
    if not part_ids:
        return Content(identity="", shared=frozenset())
    if owner:
        service = _make_digest(f"{service}\0{owner}")
    shared = part_ids[:-1][:MAX_PARTS]
    return Content(
        identity=_make_digest("\0".join((service, *part_ids))),
        shared=frozenset(make_key(service, item) for item in shared),
    )


def make_call(
    service: str,
    *,
    method: bytes,
    host: str,
    target: bytes,
    caller: str,
    body: bytes,
) -> Content:
    """Returns the content of a call to a plain service.

    Calls that differ only in their queries share their only part.

    Args:
        service: The name of the service that it is for.
        method: The HTTP method.
        host: The host that it was sent to.
        target: The path with the query.
        caller: What identifies the caller, if anything does.
        body: The body.
    """
    path, _, query = target.partition(b"?")
    names = (service.encode(), host.encode(), caller.encode())
    part = _digest((*names, method, path, body))
    return Content(
        identity=_digest((part.encode(), query)),
        shared=frozenset((make_key(service, part),)),
    )


def _digest(fields: tuple[bytes, ...]) -> str:
    """Returns the digest of fields; those of other lengths differ."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for field in fields:
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return digest.hexdigest()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Crash:
    """An endpoint that was lost before it had answered all of its requests.

    Attributes:
        engine: The key of the endpoint's incarnation.
        age_s: Seconds since it was lost.
        suspects: The requests that it had not answered, without the parts that
            endpoints have answered about that time or later.
        answered: The identities of those that an endpoint has answered about
            that time or later.
    """

    engine: str
    age_s: float
    suspects: frozenset[Content] = frozenset()
    answered: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Suspicion:
    """Why requests are refused.

    Attributes:
        parts: The keys of the parts that all of them have; empty if it
            concerns one content alone.
        identity: The identity of that content; empty if it concerns all with
            the parts.
        crashes: The keys of the crashes.
        until: When such requests are let through again, in seconds.
    """

    parts: frozenset[str] = frozenset()
    identity: str = ""
    crashes: frozenset[str]
    until: float

    def concerns(self, content: Content) -> bool:
        """Returns whether a request is refused for it."""
        if self.identity:
            return self.identity == content.identity
        return self.parts <= content.shared
