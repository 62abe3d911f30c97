"""Capacity granted to a generation on its engines."""

import dataclasses

from sassafrasstile.dispatch import _base
from sassafrasstile.dispatch import _endpoints

# An output that exceeds its expected length goes on for about this many
# tokens.
_GROWTH_TOKENS = 150


@dataclasses.dataclass(kw_only=True, eq=False)
class Grant:
    """Capacity granted to a generation on its engines.

    Attributes:
        decode: The decode engine.
        size: The reserved size.
        prefill: The engine that prefills the prompt, which may be the decode
            engine, or None when no prefill is needed.
    """

    decode: _endpoints.Endpoint
    size: _base.WorkSize
    prefill: _endpoints.Endpoint | None = None
    _is_decode_reserved: bool = dataclasses.field(default=False, init=False)
    _is_prefill_reserved: bool = dataclasses.field(default=False, init=False)

    @property
    def has_remote_prefill(self) -> bool:
        """True when a separate prefill engine prefills the prompt."""
        return self.prefill is not None and self.prefill is not self.decode

    def reserve(self) -> None:
        """Adds the generation to the load of its engines."""
        self.decode.reserve(self.size)
        self._is_decode_reserved = True
        if self.prefill is not None:
            self.prefill.prefill_tokens += self.size.prompt_tokens
            self._is_prefill_reserved = True

    def move(self, decode: _endpoints.Endpoint) -> None:
        """Moves the reservation to another decode engine.

        Args:
            decode: The new decode engine.
        """
        if self._is_decode_reserved:
            self.decode.release(self.size)
            decode.reserve(self.size)
        self.decode = decode

    def update_output_tokens(self, tokens: int) -> None:
        """Reserves more once the output exceeds its expected length.

        Args:
            tokens: Tokens generated so far.
        """
        if not self._is_decode_reserved or tokens <= self.size.output_tokens:
            return
        grown = dataclasses.replace(
            self.size, output_tokens=tokens + _GROWTH_TOKENS
        )
        self.decode.resize(self.size, grown)
        self.size = grown

    def release_prefill(self) -> None:
        """Releases the prefill; further calls do nothing."""
        if self._is_prefill_reserved:
            self._is_prefill_reserved = False
            self.prefill.prefill_tokens -= self.size.prompt_tokens

    def release(self) -> None:
        """Releases everything; further calls do nothing."""
        self.release_prefill()
        if self._is_decode_reserved:
            self._is_decode_reserved = False
            self.decode.release(self.size)
