"""What an endpoint has asked of this gateway in its answers."""

import dataclasses

from sassafrasstile import errors


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointNotice:
    """What the head of an endpoint's answer says about further requests.

    Attributes:
        is_leaving: True if it is a drain notice: the endpoint takes nothing
            new.
    """

    is_leaving: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class RestrictionChange:
    """What a notice has changed.

    Attributes:
        begins_leaving: True if it is the first drain notice.
    """

    begins_leaving: bool = False


@dataclasses.dataclass(kw_only=True, eq=False)
class SendRestrictions:
    """Whether one incarnation of an endpoint may be sent requests.

    Every send asks here, see docs/design/sending.md.

    Attributes:
        is_leaving: True from the first drain notice on.
    """

    is_leaving: bool = False

    def apply(self, notice: EndpointNotice) -> RestrictionChange:
        """Applies a notice; it never ends an earlier one.

        Args:
            notice: The notice.
        """
        begins_leaving = notice.is_leaving and not self.is_leaving
        self.is_leaving = self.is_leaving or notice.is_leaving
        return RestrictionChange(begins_leaving=begins_leaving)

    def find_denial(self) -> errors.Code | None:
        """Returns why it may not be sent a request now, or None if it may."""
        return errors.Code.LEAVING if self.is_leaving else None
