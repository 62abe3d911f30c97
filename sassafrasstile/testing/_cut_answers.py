"""Answers to cut, for tests of what reads them."""

ANSWER_BODY = b"0123456789"
_HEAD = b"HTTP/1.1 200 OK\r\nX-Server: a b\r\n"
_LENGTH = b"Content-Length: 10\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n"
_CHUNKS = b"4;a=b\r\n0123\r\n6\r\n456789\r\n0\r\n"
# Their ends don't follow from the connection's.
DELIMITED_ANSWERS = {
    "length": _HEAD + _LENGTH + b"\r\n" + ANSWER_BODY,
    "length twice": _HEAD + 2 * _LENGTH + b"\r\n" + ANSWER_BODY,
    "chunks": _HEAD + _CHUNKED + b"\r\n" + _CHUNKS + b"\r\n",
    "trailer": _HEAD + _CHUNKED + b"\r\n" + _CHUNKS + b"X-End: a\r\n\r\n",
    "chunks beside a length": (
        _HEAD + b"Content-Length: 2\r\n" + _CHUNKED + b"\r\n" + _CHUNKS
    )
    + b"\r\n",
    "informational": (
        b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + _HEAD + _LENGTH
    )
    + b"\r\n"
    + ANSWER_BODY,
    "last answer": _HEAD
    + b"Connection: close\r\n"
    + _LENGTH
    + b"\r\n"
    + ANSWER_BODY,
    "http/1.0": (
        _HEAD.replace(b"1.1", b"1.0", 1) + _LENGTH + b"\r\n" + ANSWER_BODY
    ),
    "no content": b"HTTP/1.1 204 No Content\r\nX-Server: a\r\n\r\n",
    "not modified": b"HTTP/1.1 304 Not Modified\r\n" + _LENGTH + b"\r\n",
}
# A clean end of the connection ends these, but only after their heads.
UNFRAMED_HEADS = {
    "http/1.1": _HEAD + b"\r\n",
    "http/1.0": _HEAD.replace(b"1.1", b"1.0", 1) + b"\r\n",
    "no headers": b"HTTP/1.1 200 OK\r\n\r\n",
}
# It isn't known where these end.
AMBIGUOUS_ANSWERS = {
    "two lengths": _HEAD + _LENGTH + b"Content-Length: 2\r\n\r\n" + ANSWER_BODY,
    "list of lengths": _HEAD + b"Content-Length: 10, 2\r\n\r\n" + ANSWER_BODY,
    "negative length": _HEAD + b"Content-Length: -1\r\n\r\n" + ANSWER_BODY,
    "other encoding": _HEAD + b"Transfer-Encoding: gzip\r\n\r\n" + ANSWER_BODY,
    "chunk too long": _HEAD + _CHUNKED + b"\r\n2\r\n0123\r\n0\r\n\r\n",
    "chunk without a size": _HEAD + _CHUNKED + b"\r\n\r\n0123\r\n0\r\n\r\n",
    "head for a chunk": _HEAD + _CHUNKED + b"\r\n" + _HEAD + b"\r\n",
    "no status line": _LENGTH + b"\r\n" + ANSWER_BODY,
    "empty line": b"\r\n" + _HEAD + _LENGTH + b"\r\n" + ANSWER_BODY,
}
