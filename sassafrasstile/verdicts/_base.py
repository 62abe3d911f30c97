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
    """The attempt is proven not to have run, and it won't run later.

    Attributes:
        code: The reason for the refusal.
        retry_after_s: Seconds after which a retry may succeed, or zero.
    """

    code: str
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class MayHaveRun:
    """The attempt may have run or may still run; nothing is proven.

    Attributes:
        code: The reason why the outcome is unknown.
    """

    code: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ran:
    """The attempt is proven to have run.

    Attributes:
        code: The reason for a failure after the run, or an empty string.
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
        name: A `VerdictName`. Any other name, for example one of a later
            version, proves nothing and counts as `MayHaveRun`.
        code: The reason.
        retry_after_s: Seconds after which a retry may succeed; used for
            `NotRun` only.

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
    """Returns whether another attempt can't cause a harmful second run.

    Args:
        verdict: The verdict on the previous attempt.
        repeatable: True when running the request twice is harmless.

    Returns:
        True when another attempt is allowed.
    """
    return repeatable or isinstance(verdict, NotRun)
