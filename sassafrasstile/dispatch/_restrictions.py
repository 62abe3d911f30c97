"""What an endpoint has asked of this gateway in its answers."""

import dataclasses

from sassafrasstile import errors

# The longest back-off that an endpoint gets. A mistaken value must not take it
# out of service for good.
MAX_BACKOFF_S = 60.0
# Requests begin again up to this share of a back-off after its end, so that
# the gateways don't all send theirs at the same time.
_BACKOFF_SPREAD_SHARE = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointNotice:
    """What the head of an endpoint's answer says about further requests.

    Attributes:
        is_leaving: True if it is a drain notice: the endpoint takes nothing
            new.
        backoff_s: Seconds for which the endpoint wants no requests, or None.
        unreadable_backoff: The text of a back-off that isn't a number of
            seconds, or an empty string if there is none.
        rate_per_s: Requests a second that the endpoint takes from all gateways
            together, or None if the answer names no rate.
        ends_rate: True if the answer shows that the endpoint takes any rate.
        unreadable_rate: The text of a rate that isn't a number, or an empty
            string if there is none.
    """

    is_leaving: bool = False
    backoff_s: float | None = None
    unreadable_backoff: str = ""
    rate_per_s: float | None = None
    ends_rate: bool = False
    unreadable_rate: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RestrictionChange:
    """What a notice has changed.

    Attributes:
        begins_leaving: True if it is the first drain notice.
        backoff_s: Seconds until the new end of the back-off, or None if the
            end is unchanged.
        is_first_unreadable: True if it is the first unreadable back-off.
        is_first_unreadable_rate: True if it is the first unreadable rate.
    """

    begins_leaving: bool = False
    backoff_s: float | None = None
    is_first_unreadable: bool = False
    is_first_unreadable_rate: bool = False


@dataclasses.dataclass(kw_only=True, eq=False)
class SendRestrictions:
    """Whether one incarnation of an endpoint may be sent requests.

    Every send asks here, see docs/design/sending.md.

    Attributes:
        is_leaving: True from the first drain notice on.
        backoff_until: End of the back-off that the endpoint has asked for, in
            seconds.
        had_unreadable_backoff: True once it sent a back-off that isn't a
            number of seconds.
        had_unreadable_rate: True once it sent a rate that isn't a number.
        permit_wait_until: Until then there is no permit to send to it, in
            seconds. Only an endpoint that has named a rate needs permits.

    >>> restrictions = SendRestrictions()
    >>> change = restrictions.apply(
    ...     EndpointNotice(backoff_s=2.0), now=10.0, spread=0.5
    ... )
    >>> restrictions.find_denial(12.0), restrictions.find_denial(12.2)
    (<Code.ENDPOINT_BACKOFF: 'endpoint_backoff'>, None)
    """

    is_leaving: bool = False
    backoff_until: float = float("-inf")
    had_unreadable_backoff: bool = False
    had_unreadable_rate: bool = False
    permit_wait_until: float = float("-inf")

    def apply(
        self, notice: EndpointNotice, *, now: float, spread: float
    ) -> RestrictionChange:
        """Applies a notice; it never ends or shortens an earlier one.

        Args:
            notice: The notice.
            now: The time in seconds.
            spread: A random number from 0 to 1 that spreads the end of the
                back-off.
        """
        begins_leaving = notice.is_leaving and not self.is_leaving
        self.is_leaving = self.is_leaving or notice.is_leaving
        is_unreadable = bool(notice.unreadable_backoff)
        is_first_unreadable = is_unreadable and not self.had_unreadable_backoff
        self.had_unreadable_backoff |= is_unreadable
        is_unreadable_rate = bool(notice.unreadable_rate)
        is_first_unreadable_rate = (
            is_unreadable_rate and not self.had_unreadable_rate
        )
        self.had_unreadable_rate |= is_unreadable_rate
        return RestrictionChange(
            begins_leaving=begins_leaving,
            backoff_s=self._extend(notice.backoff_s, now, spread),
            is_first_unreadable=is_first_unreadable,
            is_first_unreadable_rate=is_first_unreadable_rate,
        )

    def _extend(
        self, asked_s: float | None, now: float, spread: float
    ) -> float | None:
        if not asked_s:
            return None
        backoff_s = min(asked_s, MAX_BACKOFF_S)
        backoff_s += _BACKOFF_SPREAD_SHARE * spread * backoff_s
        if now + backoff_s <= self.backoff_until:
            return None
        self.backoff_until = now + backoff_s
        return backoff_s

    @property
    def has_asked(self) -> bool:
        """True if the endpoint has asked for anything yet."""
        return self.is_leaving or self.backoff_until > float("-inf")

    @property
    def closed_until(self) -> float:
        """Until when nothing at all may be sent to it, in seconds."""
        return max(self.backoff_until, self.permit_wait_until)

    def is_backing_off(self, now: float) -> bool:
        """Returns whether the endpoint wants nothing at all for now."""
        return now < self.backoff_until

    def find_denial(
        self, now: float, *, has_permit: bool = False
    ) -> errors.Code | None:
        """Returns why it may not be sent a request now, or None if it may.

        Args:
            now: The time in seconds.
            has_permit: True if the request has a permit: then it doesn't
                matter that another one found none.
        """
        if self.is_leaving:
            return errors.Code.LEAVING
        return self.find_release_denial(now, has_permit=has_permit)

    def find_release_denial(
        self, now: float, *, has_permit: bool = False
    ) -> errors.Code | None:
        """Returns why it may not be told now to free memory, or None.

        What a leaving endpoint frees serves the streams that still run there.

        Args:
            now: The time in seconds.
            has_permit: True if the request has a permit.
        """
        if self.is_backing_off(now):
            return errors.Code.ENDPOINT_BACKOFF
        if now < self.permit_wait_until and not has_permit:
            return errors.Code.ENDPOINT_RATE
        return None
