"""The verdict on one attempt: not run, may have run, or ran."""

import dataclasses
import enum


class VerdictName(enum.StrEnum):
    """The names of the verdicts in messages and answers."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotRun:
    """Proved: the work didn't happen and will not.

    Attributes:
        code: Why it was refused.
        retry_after_s: Seconds after which a retry may succeed, or zero.
    """

    code: str
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class MayHaveRun:
    """Nothing is proved: the work may have happened, or may yet.

    Attributes:
        code: Why it isn't known.
    """

    code: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ran:
    """Proved: the work happened.

    Attributes:
        code: The reason for a failure after the work, or an empty string.
    """

    code: str = ""


Verdict = NotRun | MayHaveRun | Ran


def name_verdict(verdict: Verdict) -> VerdictName:
    """Returns the name of a verdict.

    Args:
        verdict: Any verdict.

    Returns:
        The name used in messages and answers.

    >>> name_verdict(NotRun(code="no_capacity")).value
    'not_run'
    """
    match verdict:
        case NotRun():
            return VerdictName.NOT_RUN
        case MayHaveRun():
            return VerdictName.MAY_HAVE_RUN
        case Ran():
            return VerdictName.RAN


def make_verdict(name: str, *, code: str, retry_after_s: float = 0.0):
    """Returns the verdict with a name.

    Args:
        name: A `VerdictName`. Any other name counts as may have run, since
            nothing is proved by a word that this version doesn't know.
        code: Why.
        retry_after_s: Seconds, kept for `NotRun` only.

    Returns:
        The verdict.
    """
    match name:
        case VerdictName.NOT_RUN:
            return NotRun(code=code, retry_after_s=retry_after_s)
        case VerdictName.RAN:
            return Ran(code=code)
        case _:
            return MayHaveRun(code=code)


def is_safe_to_retry(verdict: Verdict, *, repeatable: bool) -> bool:
    """Says whether another attempt can't make the work happen twice.

    Args:
        verdict: The verdict on the attempt before.
        repeatable: True when running the work twice does no harm.

    Returns:
        True when another attempt is allowed.
    """
    return repeatable or isinstance(verdict, NotRun)
