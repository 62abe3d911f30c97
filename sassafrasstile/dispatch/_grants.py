"""Room for a generation at its engines."""

import dataclasses

from sassafrasstile.dispatch import _base
from sassafrasstile.dispatch import _endpoints

# An output that grows beyond what was expected grows by about so much more.
_GROWTH_TOKENS = 150


@dataclasses.dataclass(kw_only=True, eq=False)
class Grant:
    """Room for a generation at its engines.

    Attributes:
        decode: The decode engine.
        size: What is reserved.
        prefill: The engine that reads the prompt, which may be the decode
            engine itself, or None when nothing is to be read.
    """

    decode: _endpoints.Endpoint
    size: _base.WorkSize
    prefill: _endpoints.Endpoint | None = None
    _holds_decode: bool = dataclasses.field(default=False, init=False)
    _holds_prefill: bool = dataclasses.field(default=False, init=False)

    @property
    def has_remote_prefill(self) -> bool:
        """True when a prefill engine reads the prompt."""
        return self.prefill is not None and self.prefill is not self.decode

    def reserve(self) -> None:
        """Counts the generation in."""
        self.decode.reserve(self.size)
        self._holds_decode = True
        if self.prefill is not None:
            self.prefill.prefill_tokens += self.size.prompt_tokens
            self._holds_prefill = True

    def move(self, decode: _endpoints.Endpoint) -> None:
        """Takes the room at another decode engine instead.

        Args:
            decode: The engine.
        """
        if self._holds_decode:
            self.decode.release(self.size)
            decode.reserve(self.size)
        self.decode = decode

    def update_output_tokens(self, tokens: int) -> None:
        """Reserves more when an output grows beyond what was expected.

        Args:
            tokens: Tokens generated so far.
        """
        if not self._holds_decode or tokens <= self.size.output_tokens:
            return
        grown = dataclasses.replace(
            self.size, output_tokens=tokens + _GROWTH_TOKENS
        )
        self.decode.resize(self.size, grown)
        self.size = grown

    def release_prefill(self) -> None:
        """Counts the prefill out, once."""
        if self._holds_prefill:
            self._holds_prefill = False
            self.prefill.prefill_tokens -= self.size.prompt_tokens

    def release(self) -> None:
        """Counts everything out, once."""
        self.release_prefill()
        if self._holds_decode:
            self._holds_decode = False
            self.decode.release(self.size)
