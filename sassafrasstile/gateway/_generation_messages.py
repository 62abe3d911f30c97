"""What sidecars are asked to do for a generation request."""

from sassafrasstile import messages
from sassafrasstile.gateway import _generation
from sassafrasstile.gateway import _settings


def make_reserve(item: _generation.Generation) -> messages.Reserve:
    """Returns the order that reserves memory for the whole request."""
    return messages.Reserve(
        request_id=item.request_id,
        attempt=item.decode.attempt,
        model=item.request.model,
        tokens=item.size,
        priority=item.priority,
    )


def make_prefill(item: _generation.Generation) -> messages.Prefill:
    """Returns the order that reads the prompt and what was sent since."""
    request = item.request
    sent = tuple(item.answer.texts)
    return messages.Prefill(
        request_id=item.request_id,
        attempt=item.prefill.attempt,
        model=request.model,
        prompt=request.prompt,
        prompt_tokens=request.prompt_tokens + len(sent),
        priority=item.priority,
        sent=sent,
    )


def make_decode(
    item: _generation.Generation,
    prefilled: messages.Prefilled,
    settings: _settings.GatewaySettings,
) -> messages.Decode:
    """Returns the order that generates from a finished prefill.

    Args:
        item: The request.
        prefilled: Where its prompt was read.
        settings: The rates of transfers.
    """
    request = item.request
    sent = tuple(item.answer.texts)
    tokens = request.prompt_tokens + len(sent)
    transfer_s = tokens / settings.transfer_token_rate
    return messages.Decode(
        request_id=item.request_id,
        attempt=item.decode.attempt,
        model=request.model,
        prompt=request.prompt,
        prompt_tokens=tokens,
        max_tokens=request.max_tokens,
        priority=item.priority,
        sent=sent,
        source_address=prefilled.source_address,
        handle=prefilled.handle,
        transfer_limit_s=settings.transfer_base_s + transfer_s,
    )
