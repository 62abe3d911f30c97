"""Decides what a request may run as, when it arrives and at each send."""

from collections.abc import Callable

from sassafrasstile import errors
from sassafrasstile.workspaces import _base
from sassafrasstile.workspaces import _directory

_STATUSES = {
    errors.Code.UNKNOWN_KEY: 401,
    errors.Code.KEY_WITHDRAWN: 401,
    errors.Code.KEYS_UNCONFIRMED: 503,
}
_DETAILS = {
    errors.Code.UNKNOWN_KEY: "the request shows no valid key",
    errors.Code.KEY_WITHDRAWN: "the key isn't valid any more",
    errors.Code.KEYS_UNCONFIRMED: "it isn't known which keys are valid now",
}


class AccessChecker:
    """Checks keys against the configuration in force and the age of belief.

    A key that was withdrawn must not be used for longer than a bound, also at
    a gateway that can't hear of it. So a request with a key runs only while
    the configuration is known to have been the newest one that recently.

    Args:
        read_directory: Returns the workspaces of the configuration in force,
            or None if it has none.
        measure_age_s: Returns the seconds since the configuration in force was
            surely the newest one; infinity if it never was.
        max_age_s: The age up to which keys are relied on, or None to rely on
            the last known ones for good.
        fresh_age_s: The age up to which a key that isn't known is taken not to
            exist.
    """

    def __init__(
        self,
        *,
        read_directory: Callable[[], _directory.WorkspaceDirectory | None],
        measure_age_s: Callable[[], float] = lambda: 0.0,
        max_age_s: float | None = None,
        fresh_age_s: float = float("inf"),
    ):
        self._read_directory = read_directory
        self._measure_age_s = measure_age_s
        self._max_age_s = max_age_s
        self._fresh_age_s = fresh_age_s

    def identify(self, key: str | None, *, is_open: bool) -> _base.Access:
        """Returns what a request that has arrived may run as.

        Args:
            key: The key that its caller shows, or None.
            is_open: True if its route needs no key.

        Raises:
            errors.RequestError: With UNKNOWN_KEY or KEYS_UNCONFIRMED; the
                request may not run.
        """
        directory = self._read_directory()
        if directory is None:
            return _base.ANONYMOUS
        workspace = None if key is None else directory.find(key)
        is_relied_on = self._is_relied_on()
        if workspace is not None and is_relied_on:
            return _base.Access(
                workspace=workspace, key=key, hides_credentials=True
            )
        if is_open:
            return _base.OUTSIDE
        if key is not None and (
            not is_relied_on or self._measure_age_s() > self._fresh_age_s
        ):
            code = errors.Code.KEYS_UNCONFIRMED
        else:
            code = errors.Code.UNKNOWN_KEY
        raise _make_error(code, workspace)

    def review(
        self, access: _base.Access, *, key: str | None, is_open: bool
    ) -> _base.Access:
        """Returns what a request that was accepted earlier may run as now.

        One whose key another workspace holds now doesn't run where a key is
        needed: it was counted and queued for the former one.

        Args:
            access: What it could run as so far.
            key: The key that its caller shows, or None.
            is_open: True if its route needs no key.

        Raises:
            errors.RequestError: With UNKNOWN_KEY, KEY_WITHDRAWN or
                KEYS_UNCONFIRMED; it may not be sent.
        """
        if self._read_directory() is None:
            return _base.ANONYMOUS
        if not access.hides_credentials:
            # It was accepted before the configuration had workspaces.
            return self.identify(key, is_open=is_open)
        code = self.find_denial(access)
        if code is None:
            return access
        if is_open:
            return self.identify(key, is_open=True)
        raise _make_error(code, access.workspace)

    def find_denial(self, access: _base.Access) -> errors.Code | None:
        """Returns why a request may not be sent now, or None if it may.

        Args:
            access: What it would run as.
        """
        directory = self._read_directory()
        if directory is None:
            is_stale = access.hides_credentials
            return errors.Code.KEY_WITHDRAWN if is_stale else None
        if not access.hides_credentials:
            # It would pass its credentials on.
            return errors.Code.KEY_WITHDRAWN
        if access.workspace is None:
            return None
        holder = directory.find(access.key)
        if holder is None or holder.name != access.workspace.name:
            return errors.Code.KEY_WITHDRAWN
        if not self._is_relied_on():
            return errors.Code.KEYS_UNCONFIRMED
        return None

    def measure_age_s(self) -> float:
        """Returns the age of belief in the configuration, in seconds."""
        return self._measure_age_s()

    def _is_relied_on(self) -> bool:
        if self._max_age_s is None:
            return True
        return self._measure_age_s() <= self._max_age_s


def _make_error(
    code: errors.Code, workspace: _base.Workspace | None
) -> _base.AccessError:
    return _base.AccessError(
        code=code,
        detail=_DETAILS[code],
        status=_STATUSES[code],
        workspace=workspace.name if workspace else "",
    )
