"""Messages to sidecars for a generation request."""

from sassafrasstile import messages
from sassafrasstile.gateway import _generation
from sassafrasstile.gateway import _placements
from sassafrasstile.gateway import _settings

Placement = _placements.Placement[_generation.Generation]


def make_reserve(
    generation: _generation.Generation, placement: Placement
) -> messages.Reserve:
    """Returns the message that reserves memory for the whole request."""
    return messages.Reserve(
        request_id=generation.request_id,
        attempt=placement.attempt,
        model=generation.request.model,
        tokens=generation.max_total_tokens,
        priority=generation.priority,
    )


def make_prefill(
    generation: _generation.Generation, placement: Placement
) -> messages.Prefill:
    """Returns the message that prefills the prompt and the tokens sent."""
    request = generation.request
    sent = tuple(generation.answer.texts)
    return messages.Prefill(
        request_id=generation.request_id,
        attempt=placement.attempt,
        model=request.model,
        prompt=request.prompt,
        prompt_tokens=request.prompt_tokens + len(sent),
        priority=generation.priority,
        sent=sent,
    )


def make_decode(
    generation: _generation.Generation,
    prefilled: messages.Prefilled,
    settings: _settings.GatewaySettings,
) -> messages.Decode:
    """Returns the message that decodes from a finished prefill.

    Args:
        generation: The request.
        prefilled: The reply of the endpoint that prefilled the prompt.
        settings: The settings that limit the KV transfer.
    """
    request = generation.request
    sent = tuple(generation.answer.texts)
    tokens = request.prompt_tokens + len(sent)
    transfer_s = tokens / settings.transfer_token_rate
    return messages.Decode(
        request_id=generation.request_id,
        attempt=generation.decode.attempt,
        model=request.model,
        prompt=request.prompt,
        prompt_tokens=tokens,
        max_tokens=request.max_tokens,
        priority=generation.priority,
        sent=sent,
        source_address=prefilled.source_address,
        handle=prefilled.handle,
        transfer_limit_s=settings.transfer_base_s + transfer_s,
    )
