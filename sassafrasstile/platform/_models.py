"""Base class and units of the platform's documents."""

import pydantic
from pydantic import alias_generators

MS_PER_S = 1000.0


class Document(pydantic.BaseModel):
    """A document with camel-case fields; unknown fields are ignored."""

    model_config = pydantic.ConfigDict(
        alias_generator=alias_generators.to_camel,
        extra="ignore",
        # Values may be secret, and errors are logged.
        hide_input_in_errors=True,
    )
