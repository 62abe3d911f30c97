"""The verdict on a request that is refused on arrival."""

from sassafrasstile import errors
from sassafrasstile import verdicts
from sassafrasstile.gateway import _base


def make_arrival_verdict(
    request: _base.GenerationRequest | _base.CallRequest | _base.InquiryRequest,
    *,
    code: errors.Code,
    retry_after_s: float,
) -> verdicts.Verdict:
    """Returns the verdict on a request that is refused on arrival.

    It speaks for earlier attempts too: work may have run for a caller that
    resumes, or that sends again what may not be repeated.

    Args:
        request: The request.
        code: Why it is refused.
        retry_after_s: Seconds after which the caller is told to retry.
    """
    match request:
        case _base.GenerationRequest(resume_offset=None):
            pass
        case _base.CallRequest(repeatable=True) | _base.CallRequest(first=True):
            pass
        case _base.InquiryRequest():
            pass
        case _:
            return verdicts.MayHaveRun(code=code)
    return verdicts.NotRun(code=code, retry_after_s=retry_after_s)
