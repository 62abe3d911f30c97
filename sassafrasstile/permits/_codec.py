"""Encodes messages about stated rates, quotas and permits."""

import json
import math

from sassafrasstile import errors
from sassafrasstile import workspaces
from sassafrasstile.permits import _base

_MS_PER_S = 1000
_TAG = "permits"
_NEWS = "rate"
_REQUEST = "take"
_ANSWER = "taken"
_RETURN = "back"
# A workspace may have a long name; a message has to fit into a datagram.
_MAX_KEY_CHARS = 1000
# Digits after the point of an amount.
_AMOUNT_DIGITS = 3


def is_message(data: bytes) -> bool:
    """Returns whether another gateway's message is about rates or permits."""
    return data.startswith(f'["{_TAG}"'.encode())


def encode_message(message: _base.Message) -> bytes:
    """Encodes a message.

    >>> news = _base.RateNews(
    ...     key="e0/1", rate_per_s=1.4, sent_age_s=0.5, seen_age_s=0.25
    ... )
    >>> decision = _base.PermitDecision(wait_s=0.75)
    >>> for message in (
    ...     news,
    ...     _base.PermitRequest(number=7, news=news),
    ...     _base.PermitAnswer(number=7, decision=decision, news=news),
    ...     _base.PermitRequest(
    ...         number=7,
    ...         news=_base.QuotaNews(key="w", version=3, quota=None),
    ...         amounts=_base.Amounts(least=20.0, needed=60.5),
    ...     ),
    ... ):
    ...     data = encode_message(message)
    ...     assert is_message(data) and decode_message(data) == message
    """
    match message:
        case _base.RateNews():
            fields = [_NEWS, *_list_fields(message)]
        case _base.PermitRequest(number=number, news=news):
            fields = [_REQUEST, *_list_fields(news), number]
            if isinstance(news, _base.QuotaNews):
                amounts = message.amounts
                fields += _round(amounts.least, amounts.needed, amounts.extra)
        case _base.PermitAnswer(number=number, decision=decision, news=news):
            wait_ms = math.ceil(decision.wait_s * _MS_PER_S)
            fields = [_ANSWER, *_list_fields(news), number, wait_ms]
            if isinstance(news, _base.QuotaNews):
                fields += _round(decision.amount, decision.left)
                fields.append(decision.is_firm)
        case _base.PermitReturn(number=number, news=news):
            fields = [_RETURN, *_list_fields(news), number]
            fields += _round(message.amount)
    return json.dumps([_TAG, *fields], separators=(",", ":")).encode()


def _round(*amounts: float) -> list[float]:
    return [round(amount, _AMOUNT_DIGITS) for amount in amounts]


def _list_fields(news: _base.News) -> list:
    match news:
        case _base.RateNews():
            return [
                news.key,
                news.rate_per_s,
                round(news.sent_age_s * _MS_PER_S),
                round(news.seen_age_s * _MS_PER_S),
            ]
        case _base.QuotaNews(key=key, version=version, quota=None):
            return [[key, version]]
        case _base.QuotaNews(key=key, version=version, quota=quota):
            return [
                [
                    key,
                    version,
                    quota.rate_per_s,
                    quota.burst,
                    quota.unit.value,
                    quota.unstated_cost,
                ]
            ]


def decode_message(data: bytes) -> _base.Message:
    """Decodes a message.

    Raises:
        errors.Error: With BAD_VALUE when it is malformed.
    """
    try:
        match json.loads(data):
            case [str(), str(kind), list(fields), *others]:
                return _decode_about_quota(
                    kind, _decode_quota_news(fields), others
                )
            case [str(), str(kind), key, rate, sent_ms, seen_ms, *others]:
                news = _decode_news(key, rate, sent_ms, seen_ms)
                return _decode_rest(kind, news, others)
            case fields:
                raise ValueError(f"unexpected fields {fields!r:.100}")
    except (ValueError, RecursionError) as reason:
        raise errors.Error(
            code=errors.Code.BAD_VALUE, detail=f"permits: {reason!s:.150}"
        ) from reason


def _decode_rest(
    kind: str, news: _base.RateNews, others: list
) -> _base.Message:
    match (kind, others):
        case (str(tag), []) if tag == _NEWS:
            return news
        case (str(tag), [int(number)]) if tag == _REQUEST:
            return _base.PermitRequest(number=number, news=news)
        case (str(tag), [int(number), wait_ms]) if tag == _ANSWER:
            decision = _base.PermitDecision(wait_s=_decode_ms(wait_ms))
            return _base.PermitAnswer(
                number=number, decision=decision, news=news
            )
    raise ValueError(f"unexpected fields of {kind!r:.20}")


def _decode_about_quota(
    kind: str, news: _base.QuotaNews, others: list
) -> _base.Message:
    match (kind, others):
        case (str(tag), [int(number), least, needed, extra]) if tag == _REQUEST:
            amounts = _base.Amounts(
                least=_check_amount(least),
                needed=_check_amount(needed),
                extra=_check_amount(extra),
            )
            return _base.PermitRequest(
                number=number, news=news, amounts=amounts
            )
        case (
            str(tag),
            [int(number), wait_ms, amount, left, bool(is_firm)],
        ) if tag == _ANSWER:
            decision = _base.PermitDecision(
                wait_s=_decode_ms(wait_ms),
                amount=_check_amount(amount),
                left=_check_number(left),
                is_firm=is_firm,
            )
            return _base.PermitAnswer(
                number=number, decision=decision, news=news
            )
        case (str(tag), [int(number), amount]) if tag == _RETURN:
            return _base.PermitReturn(
                number=number,
                news=news,
                amount=_check_amount(amount),
            )
    raise ValueError(f"unexpected fields of {kind!r:.20}")


def _decode_quota_news(fields: list) -> _base.QuotaNews:
    match fields:
        case [key, int(version)]:
            quota = None
        case [key, int(version), rate_per_s, burst, unit, unstated_cost]:
            quota = workspaces.Quota(
                rate_per_s=_check_amount(rate_per_s),
                burst=_check_amount(burst),
                unit=workspaces.QuotaUnit(unit),
                unstated_cost=_check_amount(unstated_cost),
            )
        case _:
            raise ValueError(f"unexpected fields {fields!r:.100}")
    return _base.QuotaNews(key=_check_key(key), version=version, quota=quota)


def _check_key(key: object) -> str:
    if not isinstance(key, str) or len(key) > _MAX_KEY_CHARS:
        raise ValueError(f"{key!r:.50} is no key")
    return key


def _check_number(value: object) -> float:
    if not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError(f"{value!r:.20} is no amount")
    return float(value)


def _check_amount(value: object) -> float:
    amount = _check_number(value)
    if amount < 0:
        raise ValueError(f"{value!r:.20} is no amount")
    return amount


def _decode_news(
    key: object, rate: object, sent_ms: object, seen_ms: object
) -> _base.RateNews:
    if rate is not None:
        is_number = isinstance(rate, int | float) and math.isfinite(rate)
        if not is_number or rate < 0:
            raise ValueError(f"{rate!r:.20} is no rate")
    return _base.RateNews(
        key=_check_key(key),
        rate_per_s=rate,
        sent_age_s=_decode_ms(sent_ms),
        seen_age_s=_decode_ms(seen_ms),
    )


def _decode_ms(value: object) -> float:
    if not isinstance(value, int) or not 0 <= value <= (
        _base.MAX_AGE_S * _MS_PER_S
    ):
        raise ValueError(f"{value!r:.20} isn't a time in milliseconds")
    return value / _MS_PER_S
