"""How long ago the configuration here was surely the newest one."""

from collections.abc import Callable
import dataclasses
import enum
import time

# A version that a peer has told counts this long after its last report; the
# peer may be gone, and the version lost in a restore of the store.
_PEER_VERSION_LIFETIME_S = 20.0


class Source(enum.StrEnum):
    """What has confirmed a configuration."""

    STORE = "store"
    GATEWAY = "gateway"


class Outcome(enum.Enum):
    """What another gateway's answer says about the configuration here."""

    CONFIRMED = "confirmed"
    OLDER = "older"
    NEWER = "newer"
    NOTHING = "nothing"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Confirmation:
    """That the store had no newer configuration at some time.

    Attributes:
        at: The time in seconds, on the clock that counts suspensions.
        version: The version that was in force here.
        source: What has confirmed it.
        gateway: The name of the gateway that has, or an empty string.
    """

    at: float
    version: int
    source: Source
    gateway: str = ""


def read_boot_time_s() -> float:
    """Returns the time in seconds on a clock that counts suspensions."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class KeyBelief:
    """Knows since when the keys in force here may be out of date.

    A confirmation is never younger than the call or the question that led to
    it, however late the answer arrives.

    Args:
        read_version: Returns the version in force here, or None before there
            is one.
        read_time_s: Returns the time in seconds on a clock that counts
            suspensions of the machine.
        may_rely_on_store: Returns whether the store may confirm a version; one
            that was restored may lack versions in force elsewhere.
        on_confirmed: Called with each confirmation that is the newest one.

    >>> version = 3
    >>> now_s = 10.0
    >>> belief = KeyBelief(
    ...     read_version=lambda: version, read_time_s=lambda: now_s
    ... )
    >>> belief.measure_age_s()
    inf
    >>> belief.record_call(8.0)
    >>> belief.measure_age_s()
    2.0
    >>> belief.record_answer(
    ...     version=3, age_s=0.5, asked_at=9.5, gateway="gateway-2"
    ... )
    <Outcome.CONFIRMED: 'confirmed'>
    >>> belief.measure_age_s()
    1.0
    """

    def __init__(
        self,
        *,
        read_version: Callable[[], int | None],
        read_time_s: Callable[[], float] = read_boot_time_s,
        may_rely_on_store: Callable[[], bool] = lambda: True,
        on_confirmed: Callable[[Confirmation], None] = lambda _item: None,
    ):
        self._read_version = read_version
        self._read_time_s = read_time_s
        self._may_rely_on_store = may_rely_on_store
        self._on_confirmed = on_confirmed
        self._peer_version: int | None = None
        self._peer_version_until = float("-inf")
        self._newest: Confirmation | None = None

    @property
    def version(self) -> int | None:
        """The version in force here, or None before there is one."""
        return self._read_version()

    @property
    def newest(self) -> Confirmation | None:
        """The newest confirmation, or None before the first one."""
        return self._newest

    def measure_age_s(self) -> float:
        """Returns the age in seconds; infinity before a confirmation."""
        if self._newest is None:
            return float("inf")
        return max(0.0, self._read_time_s() - self._newest.at)

    def record_peer_version(self, version: int | None) -> None:
        """Records the version that a peer has in force, or None for none."""
        if version is None:
            return
        now = self._read_time_s()
        known = self._peer_version
        if known is None or version >= known or now > self._peer_version_until:
            self._peer_version = version
            self._peer_version_until = now + _PEER_VERSION_LIFETIME_S

    def record_call(self, begun_at: float) -> None:
        """Records a call to the store whose records are applied here.

        Args:
            begun_at: The time at which the call was begun, in seconds.
        """
        version = self._read_version()
        if version is None or not self._may_rely_on_store():
            return
        self._confirm(
            Confirmation(at=begun_at, version=version, source=Source.STORE)
        )

    def record_answer(
        self, *, version: int, age_s: float, asked_at: float, gateway: str
    ) -> Outcome:
        """Records another gateway's answer to a question of this one.

        Args:
            version: The version that it has in force.
            age_s: The age of its own belief, in seconds.
            asked_at: The time at which this gateway asked, in seconds.
            gateway: Its name.
        """
        self.record_peer_version(version)
        own_version = self._read_version()
        if own_version is None or version > own_version:
            return Outcome.NEWER
        if version < own_version:
            return Outcome.OLDER
        if age_s == float("inf"):
            return Outcome.NOTHING
        is_confirmed = self._confirm(
            Confirmation(
                at=asked_at - age_s,
                version=version,
                source=Source.GATEWAY,
                gateway=gateway,
            )
        )
        return Outcome.CONFIRMED if is_confirmed else Outcome.NEWER

    def _confirm(self, confirmation: Confirmation) -> bool:
        """Keeps a confirmation if it is the newest one.

        Returns:
            False when it proves nothing, since a peer has a newer version.
        """
        if self._has_newer_peer(confirmation.version):
            return False
        if self._newest is None or confirmation.at > self._newest.at:
            self._newest = confirmation
            self._on_confirmed(confirmation)
        return True

    def _has_newer_peer(self, version: int) -> bool:
        """Returns whether a peer has lately told a newer version."""
        return (
            self._peer_version is not None
            and self._peer_version > version
            and self._read_time_s() <= self._peer_version_until
        )
