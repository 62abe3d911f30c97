"""Charges requests to the quotas of their workspaces."""

from collections.abc import Callable
import dataclasses
import logging

from twisted.internet import defer
from twisted.internet import task

from sassafrasstile import limits
from sassafrasstile import workspaces
from sassafrasstile.permits import _accounts
from sassafrasstile.permits import _base
from sassafrasstile.permits import _exchange
from sassafrasstile.permits import _terms

_LOG = logging.getLogger("sassafrasstile.permits")
_SWEEP_INTERVAL_S = 0.25
# A process that did nothing for this long was suspended.
_SUSPENSION_S = 1.0
# Gateways that are asked one after the other if the first is silent.
_MAX_ASKED = 2
# Nobody is asked for this long after nobody has answered.
_UNANSWERED_WAIT_S = 0.5
# A process that has just started doesn't hear of the others yet. For this time,
# requests that it can't decide on wait, and are decided on at this interval.
_START_S = 1.5
_START_INTERVAL_S = 0.05
# An answer by another version of the quota is asked for again after this time.
_OUTDATED_WAIT_S = 0.001
_IDLE_S = 60.0
# A charge is old when it was made this much longer ago than a lease lasts.
_OLD_CHARGE_S = 0.5
# More is leased when no more than this share of it is left.
_REFILL_SHARE = 1 / 3
_MAX_LOG_LINES_PER_S = 5.0
_KEY_PREFIX = "quota:"


@dataclasses.dataclass(frozen=True, kw_only=True)
class StatedQuota:
    """What the configuration in force says about a workspace's quota.

    Attributes:
        version: The version of the configuration.
        quota: The quota, or None if there is none.
    """

    version: int
    quota: workspaces.Quota | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuotaCharge:
    """What a request was charged.

    Attributes:
        workspace: The workspace's name.
        amount: What it was charged.
        quota: The quota by which.
        charged_at: When, in seconds.
        is_reserve: True if it was charged to this gateway's reserve.
    """

    workspace: str
    amount: float
    quota: workspaces.Quota
    charged_at: float
    is_reserve: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuotaDecision:
    """Whether a request is within its workspace's quota.

    Attributes:
        charge: What it was charged, or None.
        wait_s: Seconds until its cost is there, or zero if it may run.
        cost: What it costs.
        level: What was left, or None if it isn't known.
    """

    charge: QuotaCharge | None = None
    wait_s: float = 0.0
    cost: float = 0.0
    level: _accounts.LevelReport | None = None

    @property
    def is_granted(self) -> bool:
        """True if the request may run."""
        return not self.wait_s


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Grant:
    """A decision of the gateway that hands out.

    Attributes:
        decision: The decision.
        is_enough: True if it is all that the requests that wait need.
        gateway: Its name.
        asked_at: When it was asked, in seconds.
    """

    decision: _base.PermitDecision
    is_enough: bool
    gateway: str
    asked_at: float


class QuotaKeeper:
    """Charges requests to quotas, together with the other gateways.

    For each workspace one gateway hands out its quota. The others ask it for
    what they need, and lease some more if they use much. If nobody answers,
    a gateway uses its part of the slack, which no other one uses.

    Args:
        reactor: The reactor.
        exchange: Asks the other gateways.
        read_quota: Returns what the configuration in force says about a
            workspace, or None if it doesn't know the workspace.
        bounds: By how much all gateways together may exceed a quota.
        count_gateways: Returns the number of gateways, this one included, or
            None while it isn't known.
    """

    def __init__(
        self,
        *,
        reactor,
        exchange: _exchange.PermitExchange,
        read_quota: Callable[[str], StatedQuota | None],
        bounds: _terms.QuotaBounds,
        count_gateways: Callable[[], int | None] = lambda: 1,
    ):
        self._reactor = reactor
        self._exchange = exchange
        self._read_quota = read_quota
        self._bounds = bounds
        # An account knows what was used of the reserve in this window.
        self._idle_s = max(_IDLE_S, bounds.window_s)
        self._count_gateways = count_gateways
        self._accounts: dict[str, _accounts.QuotaAccount] = {}
        self._live: list[str] = []
        self._started_at = reactor.seconds()
        self._settled_at = reactor.seconds()
        self._watched_at = reactor.seconds()
        self._log_bucket = limits.TokenBucket(rate_per_s=_MAX_LOG_LINES_PER_S)
        self._loop = task.LoopingCall(self._sweep)
        self._loop.clock = reactor
        exchange.add_source(_base.QuotaNews, self)

    def start(self) -> None:
        """Starts to give back what isn't used."""
        self._loop.start(_SWEEP_INTERVAL_S, now=False)

    def close(self) -> None:
        """Stops to give back what isn't used."""
        if self._loop.running:
            self._loop.stop()

    # Charges of this gateway's requests.

    async def charge(self, workspace: str, tokens: int | None) -> QuotaDecision:
        """Charges a request to its workspace's quota.

        Args:
            workspace: The workspace's name.
            tokens: The tokens that the request states, or None.
        """
        account = self._find_account(workspace)
        if account.terms is None:
            return QuotaDecision()
        now = self._now()
        account.used_at = now
        cost = account.terms.quota.measure_cost(tokens)
        if not account.waiting and account.spend(cost, now):
            self._lease_ahead(account, cost)
            return self._grant(account, cost)
        wait_s = account.estimate_wait_s(cost, now)
        if wait_s and not account.waiting:
            return self._deny(account, cost, wait_s)
        decided: defer.Deferred = defer.Deferred(
            lambda _deferred: account.waiting.remove(waiting)
        )
        waiting = _accounts.WaitingCharge(tokens=tokens, decided=decided)
        account.waiting.append(waiting)
        self._obtain_more(account)
        return await decided

    def refund(self, charge: QuotaCharge) -> None:
        """Gives back what a request was charged that hasn't run."""
        account = self._accounts.get(charge.workspace)
        if account is None or account.terms is None:
            return
        if charge.quota.unit is not account.terms.quota.unit:
            return
        now = self._now()
        if charge.is_reserve:
            account.reserve.give_back(charge.amount, taken_at=charge.charged_at)
            return
        amount = charge.amount
        if now - charge.charged_at > account.terms.lease_s + _OLD_CHARGE_S:
            # It adds to what may be used in this window.
            most = account.terms.measure_reserve(self._count_gateways())
            left = account.reserve.measure_left(most=most, now=now)
            amount = min(amount, left)
            if not amount:
                return
            account.reserve.take(amount, most=most, now=now)
        owner = self._exchange.rank(_make_key(account.name))[0]
        self._give_back(account, owner, amount)

    def list_leased(self) -> dict[str, float]:
        """Returns what is leased at this gateway by workspace."""
        now = self._now()
        return {
            name: account.measure_held(now)
            for name, account in self._accounts.items()
        }

    def _grant(
        self, account, cost: float, *, is_reserve: bool = False
    ) -> QuotaDecision:
        charge = QuotaCharge(
            workspace=account.name,
            amount=cost,
            quota=account.terms.quota,
            charged_at=self._now(),
            is_reserve=is_reserve,
        )
        return QuotaDecision(charge=charge, cost=cost)

    def _deny(self, account, cost: float, wait_s: float) -> QuotaDecision:
        """Turns a request down."""
        level, now = account.level, self._now()
        if self._log_bucket.take(1, now):
            _LOG.info(
                "quota: workspace %s: a request over %g is refused.",
                account.name,
                cost,
                extra={
                    "workspace": account.name,
                    "cost": cost,
                    "left": None if level is None else round(level.left),
                    "age_s": None
                    if level is None
                    else round(now - level.seen_at, 3),
                    "gateway": None if level is None else level.gateway,
                    "version": account.version,
                    "wait_s": round(wait_s, 3),
                },
            )
        return QuotaDecision(wait_s=wait_s, cost=cost, level=level)

    def _refuse(self, account, waiting, cost: float, wait_s: float) -> None:
        account.waiting.remove(waiting)
        waiting.decided.callback(self._deny(account, cost, wait_s))

    def _lease_ahead(self, account, cost: float) -> None:
        """Asks for more before what is leased is used up."""
        extra = account.choose_extra(cost, self._now())
        held = account.measure_held(self._now())
        if extra and held < extra * _REFILL_SHARE:
            self._obtain_more(account)

    def _obtain_more(self, account) -> None:
        if account.is_asking:
            return
        account.is_asking = True
        obtaining = defer.ensureDeferred(self._run_requests(account))

        def finish(_result):
            account.is_asking = False

        obtaining.addErrback(self._log_failure)
        obtaining.addBoth(finish)

    async def _run_requests(self, account) -> None:
        """Asks until no request waits for its cost any more."""
        is_first = True
        while account.waiting or is_first:
            is_first = False
            if account.terms is None:
                self._release(account)
                return
            version = account.version
            grant = await self._request(account)
            if account.version != version:
                continue
            self._apply_grant(account, grant)
            self._serve_waiting(account, grant)
            is_firm = grant is not None and grant.decision.is_firm
            if account.waiting and not is_firm:
                await task.deferLater(self._reactor, _START_INTERVAL_S)

    async def _request(self, account) -> _Grant | None:
        """Asks those that may hand out; returns None if nobody answers."""
        asked_at = self._now()
        if asked_at < account.unanswered_until:
            return None
        amounts = self._choose_amounts(account)
        news = self.describe(account.name)
        for name in self._exchange.rank(_make_key(account.name))[:_MAX_ASKED]:
            if name == self._exchange.name:
                own = dataclasses.replace(amounts, extra=0.0)
                decision = self.allocate(
                    _base.PermitRequest(number=0, news=news, amounts=own)
                )
            else:
                decision = await self._exchange.ask(name, news, amounts)
            if decision is not None:
                return _Grant(
                    decision=decision,
                    is_enough=decision.amount >= amounts.needed,
                    gateway=name,
                    asked_at=asked_at,
                )
        account.unanswered_until = self._now() + _UNANSWERED_WAIT_S
        return None

    def _choose_amounts(self, account) -> _base.Amounts:
        now = self._now()
        costs = [
            account.terms.quota.measure_cost(item.tokens)
            for item in account.waiting
        ]
        held = account.measure_held(now)
        first = costs[0] if costs else 0.0
        return _base.Amounts(
            least=max(0.0, first - held),
            needed=max(0.0, sum(costs) - held),
            extra=account.choose_extra(first, now),
        )

    def _apply_grant(self, account, grant: _Grant | None) -> None:
        if grant is None:
            return
        decision = grant.decision
        if decision.is_granted:
            account.add_lease(
                decision.amount,
                gateway=grant.gateway,
                asked_at=grant.asked_at,
            )
        account.level = None
        if decision.is_firm and not grant.is_enough:
            account.level = _accounts.LevelReport(
                left=decision.left,
                seen_at=grant.asked_at,
                gateway=grant.gateway,
            )

    def _serve_waiting(self, account, grant: _Grant | None) -> None:
        """Decides on the first requests that wait, as far as is known."""
        is_enough = grant is not None and grant.is_enough
        is_firm = grant is not None and grant.decision.is_firm
        version = account.version
        # A request that is decided runs on at once, and what it leads to may
        # apply another quota here.
        while account.waiting and account.version == version:
            waiting = account.waiting[0]
            cost = account.terms.quota.measure_cost(waiting.tokens)
            if account.spend(cost, self._now()):
                account.waiting.popleft()
                waiting.decided.callback(self._grant(account, cost))
            elif is_enough:
                return
            elif is_firm:
                missing = cost - account.measure_held(self._now())
                wait_s = account.estimate_wait_s(missing, account.level.seen_at)
                if not wait_s:
                    return
                self._refuse(account, waiting, cost, wait_s)
            elif self._spend_reserve(account, cost):
                account.waiting.popleft()
                waiting.decided.callback(
                    self._grant(account, cost, is_reserve=True)
                )
            elif self._now() - self._started_at < _START_S:
                return
            else:
                # Others may be heard of again before the cost is there.
                self._refuse(account, waiting, cost, _UNANSWERED_WAIT_S)

    def _spend_reserve(self, account, cost: float) -> bool:
        most = account.terms.measure_reserve(self._count_gateways())
        return account.reserve.take(cost, most=most, now=self._now())

    def _release(self, account) -> None:
        """Lets all run that wait, since there is no quota any more."""
        while account.waiting:
            account.waiting.popleft().decided.callback(QuotaDecision())

    def _log_failure(self, reason) -> None:
        _LOG.error("quota: internal error: %s", reason.getTraceback())

    # What this gateway hands out.

    def apply(self, sender: str, news: _base.QuotaNews) -> None:
        """Learns what another gateway knows about a workspace's quota."""
        account = self._find_account(news.key)
        if account.set_quota(news.version, news.quota):
            _LOG.info(
                "quota: workspace %s: version %d is applied.",
                news.key,
                news.version,
                extra={"workspace": news.key, "source": sender},
            )

    def describe(self, key: str) -> _base.QuotaNews:
        """Returns what is known about a workspace's quota."""
        account = self._find_account(key)
        return _base.QuotaNews(
            key=key,
            version=account.version,
            quota=None if account.terms is None else account.terms.quota,
        )

    def allocate(self, request: _base.PermitRequest) -> _base.PermitDecision:
        """Hands out an amount."""
        account = self._find_account(request.news.key)
        account.used_at = self._now()
        if account.terms is None:
            return _base.PermitDecision(amount=request.amounts.needed)
        asked = request.news.quota
        if asked is None or asked.unit is not account.terms.quota.unit:
            return _base.PermitDecision(wait_s=_OUTDATED_WAIT_S, amount=0.0)
        self._watch()
        key = _make_key(account.name)
        standing = self._find_standing(key)
        decision = self._exchange.allocator.take(
            key,
            limit=account.terms.choose_limit(standing),
            now=self._now(),
            amounts=request.amounts,
            unused_since=self._settled_at if standing.is_first else None,
        )
        return dataclasses.replace(
            decision,
            wait_s=min(_base.MAX_AGE_S, decision.wait_s),
            is_firm=standing.is_firm,
        )

    def take_back(self, message: _base.PermitReturn) -> None:
        """Takes back what another gateway hasn't used."""
        account = self._find_account(message.news.key)
        if account.version == message.news.version:
            self._take_back(account, message.amount)

    def receive_late(self, sender: str, answer: _base.PermitAnswer) -> None:
        """Gives back what was handed out too late."""
        account = self._accounts.get(answer.news.key)
        if account is not None and answer.decision.is_granted:
            self._give_back(account, sender, answer.decision.amount)

    def _give_back(self, account, gateway: str, amount: float) -> None:
        if gateway == self._exchange.name:
            self._take_back(account, amount)
        else:
            news = self.describe(account.name)
            self._exchange.give_back(gateway, news, amount)

    def _take_back(self, account, amount: float) -> None:
        if account.terms is None:
            return
        key = _make_key(account.name)
        limit = account.terms.choose_limit(self._find_standing(key))
        self._exchange.allocator.give_back(
            key, amount, limit=limit, now=self._now()
        )

    def _find_standing(self, key: str) -> _terms.Standing:
        transport = self._exchange.transport
        count = self._count_gateways()
        share = 0.0
        if count is not None:
            known = 1 + len(transport.list_zones()) + transport.count_lost()
            known = max(1, min(known, count))
            share = min(1.0, (1 + len(transport.list_live())) / known)
        is_first = self._exchange.rank(key)[0] == self._exchange.name
        return _terms.Standing(is_first=is_first, share=share)

    def _find_account(self, name: str) -> _accounts.QuotaAccount:
        """Returns a workspace's account, by the newest quota known."""
        account = self._accounts.get(name)
        if account is None:
            account = _accounts.QuotaAccount(name=name, bounds=self._bounds)
            account.used_at = self._now()
            self._accounts[name] = account
        stated = self._read_quota(name)
        if stated is not None and stated.version != account.version:
            account.set_quota(stated.version, stated.quota)
        return account

    # What changes with time.

    def _watch(self) -> None:
        """Notices that others hand out, or that this process was suspended.

        Then nothing is known of what was handed out meanwhile.
        """
        now = self._now()
        live = list(self._exchange.transport.list_live())
        was_suspended = now - self._watched_at > _SUSPENSION_S
        self._watched_at = now
        if not was_suspended and live == self._live:
            return
        self._live = live
        self._settled_at = now
        allocator = self._exchange.allocator
        for key in allocator.list_keys():
            if not key.startswith(_KEY_PREFIX):
                continue
            is_first = self._exchange.rank(key)[0] == self._exchange.name
            if was_suspended or not is_first:
                allocator.forget(key)

    def _sweep(self) -> None:
        self._watch()
        now = self._now()
        for account in list(self._accounts.values()):
            for lease in account.drop_expired(now):
                # Where this process stood still, it was refilled long ago.
                if now - lease.expires_at <= _OLD_CHARGE_S:
                    self._give_back(account, lease.gateway, lease.amount)
            is_idle = not account.waiting and not account.is_asking
            if is_idle and now - account.used_at > self._idle_s:
                del self._accounts[account.name]

    def _now(self) -> float:
        return self._reactor.seconds()


def _make_key(workspace: str) -> str:
    return _KEY_PREFIX + workspace
