"""What the platform's documents have in common."""

import pydantic
from pydantic import alias_generators

MS_PER_S = 1000.0


class Document(pydantic.BaseModel):
    """A document with fields in camel case; unknown ones are ignored."""

    model_config = pydantic.ConfigDict(
        alias_generator=alias_generators.to_camel, extra="ignore"
    )
