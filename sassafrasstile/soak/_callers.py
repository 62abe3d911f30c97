"""Callers of the soak, which disconnect, reconnect and retry at random."""

import dataclasses
import itertools

from sassafrasstile import gateway
from sassafrasstile import standins
from sassafrasstile import verdicts
from sassafrasstile.soak import _endpoints

# Share of generation requests whose caller disconnects for good.
_DISCONNECT_SHARE = 0.1
# Share of generation requests that are resumed after a gateway is lost.
_RETRY_SHARE = 0.9
_RETRY_DELAY_S = (0.05, 3.5)
_PAUSED_GATEWAY_TIMEOUT_S = 20.0
_MAX_BOOKING_ATTEMPTS = 5
# Share of bookings that are sent twice without waiting for the answer.
_DOUBLE_SEND_SHARE = 0.1
# Time allowed for an answer beyond the request's own limit.
_ANSWER_MARGIN_S = 5.0
_FIRST_TOKEN_TARGET_S = 0.74
_STEPS_PER_TOKEN_TARGET = 1.5


class Caller:
    """Base class of callers.

    Args:
        site: The site with its world, gateways, oracle and report.
        name: The caller's name, used as the request's id or key.
    """

    def __init__(self, *, site, name: str):
        self.site = site
        self.name = name
        self.is_done = False

    def choose_gateway(self):
        """Returns a random ready gateway as a balancer would, or None."""
        ready = [
            node
            for node in self.site.gateways
            if node.is_alive and not node.is_draining
        ]
        if not ready:
            return None
        return self.site.world.generator.choice(ready)

    def finish(self, outcome: str) -> None:
        """Ends the request and counts its outcome in the report."""
        if self.is_done:
            return
        self.is_done = True
        world = self.site.world
        world.add_trace_line(f"{self.name} ends: {outcome}")
        self.site.report.record_outcome(
            f"{self.name} {outcome} {world.now:.6f}"
        )
        counter = outcome.split(",")[0]
        report = self.site.report
        setattr(report, counter, getattr(report, counter) + 1)
        if counter != "refused_not_run":
            report.accepted += 1


class Exchange:
    """One request of a caller on its own connection to a gateway.

    Args:
        caller: The caller.
        node: The gateway.
        request: The request.
    """

    def __init__(self, *, caller, node, request):
        self.caller = caller
        self.node = node
        self.request = request
        self.is_open = True
        self.has_ended = False
        self.incarnation = node.incarnation

    def open(self) -> None:
        """Sends the request."""
        self.node.connections[self] = None
        self.node.deliver(
            self.incarnation, lambda: self.node.submit(self.request, self)
        )

    def close(self) -> None:
        """Closes the connection and cancels the request."""
        if not self.is_open:
            return
        self._end()
        self.node.deliver(
            self.incarnation,
            lambda: self.node.cancel(self.request.request_id, self),
        )

    def _end(self) -> None:
        self.is_open = False
        self.node.connections.pop(self, None)

    def handle_gateway_loss(self) -> None:
        """Handles the loss of the connection when the gateway has died."""
        if self.is_open:
            self._end()
            self.caller.handle_gateway_loss(self)

    def handle(self, effect) -> None:
        """Handles a response or a part of one from the gateway."""
        if self.has_ended:
            self.caller.site.report.record_violation(
                "answered_twice", f"{self.caller.name}: {effect}"
            )
            return
        if not isinstance(effect, gateway.Deliver):
            self.has_ended = True
        if self.is_open:
            if self.has_ended:
                self._end()
            self.caller.handle(self, effect)


class GenerationCaller(Caller):
    """Sends a generation request and checks every token of the answer.

    Args:
        site: The site.
        name: The request's id.
        prompt: The prompt.
        prompt_tokens: Length of the prompt.
        deferred: True for a deferred request, False for an interactive one.
    """

    def __init__(self, *, site, name, prompt, prompt_tokens, deferred):
        super().__init__(site=site, name=name)
        shape = site.shape
        self.request = gateway.GenerationRequest(
            request_id=name,
            workspace="all",
            model=_endpoints.MODEL,
            prompt=prompt,
            prompt_tokens=prompt_tokens,
            max_tokens=shape.max_tokens,
            deferred=deferred,
        )
        self.expected = standins.generate_tokens(prompt, shape.max_tokens)
        self.received = 0
        self.started_at = site.world.now
        self.first_token_at: float | None = None
        self.last_progress_at = site.world.now
        self.exchange: Exchange | None = None

    def start(self) -> None:
        """Sends the request."""
        self.send(resume=False)
        generator = self.site.world.generator
        if generator.random() < _DISCONNECT_SHARE:
            self.site.world.call_later(
                generator.expovariate(0.5), self.disconnect
            )
        self.check_timeout()

    def send(self, *, resume: bool) -> None:
        """Sends the request to a gateway."""
        if self.is_done:
            return
        node = self.choose_gateway()
        if node is None:
            self.site.world.call_later(0.5, lambda: self.send(resume=resume))
            return
        self.last_progress_at = self.site.world.now
        offset = self.received if resume else None
        request = dataclasses.replace(self.request, resume_offset=offset)
        self.exchange = Exchange(caller=self, node=node, request=request)
        self.exchange.open()

    def check_timeout(self) -> None:
        """Resumes elsewhere or ends the request after too long a silence.

        A request at a paused gateway is resumed through another one. Silence
        of a running gateway beyond the request's limit is a violation.
        """
        world = self.site.world
        if self.is_done:
            return
        settings = self.site.shape.routing
        limit_s = settings.interactive_limit_s
        if self.request.deferred:
            limit_s = settings.deferred_limit_s
        exchange = self.exchange
        silent_s = world.now - self.last_progress_at
        if exchange is not None and exchange.is_open:
            node = exchange.node
            if node.is_paused and silent_s > _PAUSED_GATEWAY_TIMEOUT_S:
                exchange.close()
                self.send(resume=True)
            elif silent_s > limit_s + _ANSWER_MARGIN_S and not (
                node.is_paused or world.now - node.resumed_at < limit_s
            ):
                self.site.report.record_violation(
                    "incomplete", f"{self.name}: silence"
                )
                exchange.close()
                self.finish("may_have_run,silence")
                return
        world.call_later(1.0, self.check_timeout)

    def disconnect(self) -> None:
        """Disconnects without a retry."""
        if self.is_done:
            return
        self.finish("cancelled")
        if self.exchange is not None:
            self.exchange.close()
        self.site.oracle.ended_at[self.name] = self.site.world.now

    def finish(self, outcome: str) -> None:
        """Ends the request and records the time for the oracle."""
        super().finish(outcome)
        self.site.oracle.ended_at.setdefault(self.name, self.site.world.now)

    def handle_gateway_loss(self, exchange: Exchange) -> None:
        """Resumes the request at any ready gateway, or sometimes ends it."""
        world = self.site.world
        if self.is_done:
            return
        if world.generator.random() < _RETRY_SHARE:
            delay_s = world.generator.uniform(*_RETRY_DELAY_S)
            world.call_later(delay_s, lambda: self.send(resume=True))
        else:
            self.finish("cancelled,gateway lost")

    def handle(self, exchange: Exchange, effect) -> None:
        """Handles a response or a part of one from the gateway."""
        if exchange is not self.exchange or self.is_done:
            return
        self.last_progress_at = self.site.world.now
        match effect:
            case gateway.Deliver():
                self._check_tokens(effect)
            case gateway.Complete():
                self._check_complete()
            case gateway.Refuse():
                self._refuse(effect)

    def _check_tokens(self, effect: gateway.Deliver) -> None:
        end = effect.offset + len(effect.texts)
        expected = tuple(self.expected[effect.offset : end])
        if effect.offset != self.received or effect.texts != expected:
            self.site.report.record_violation(
                "incomplete",
                f"{self.name} has {self.received} tokens and received "
                f"{len(effect.texts)} at offset {effect.offset}",
            )
        if self.first_token_at is None:
            self.first_token_at = self.site.world.now
        self.received = end

    def _check_complete(self) -> None:
        world = self.site.world
        if self.received != len(self.expected):
            self.site.report.record_violation(
                "incomplete",
                f"{self.name} ends at {self.received} of "
                f"{len(self.expected)} tokens",
            )
        first_s = self.first_token_at - self.started_at
        self.site.report.first_token_s.append(first_s)
        per_token_s = (world.now - self.first_token_at) / max(
            1, self.received - 1
        )
        target_s = self.site.shape.speed.step_s * _STEPS_PER_TOKEN_TARGET
        if first_s <= _FIRST_TOKEN_TARGET_S and per_token_s <= target_s:
            self.site.report.good += 1
        self.finish("complete")

    def _refuse(self, effect: gateway.Refuse) -> None:
        if isinstance(effect.verdict, verdicts.NotRun):
            self.site.oracle.record_not_run(self.name)
            self.finish(f"refused_not_run,{effect.verdict.code}")
        else:
            self.finish(f"may_have_run,{effect.verdict.code}")


class BookingCaller(Caller):
    """Sends a non-idempotent call and retries it with the same key.

    Args:
        site: The site.
        name: The idempotency key.
        sends_twice: True if it never waits for the first call's answer.
        declares_again: True if it declares a call the first of its key again
            while each earlier one was refused as not run.
    """

    def __init__(self, *, site, name, sends_twice=False, declares_again=False):
        super().__init__(site=site, name=name)
        self.sends_twice = sends_twice
        self.declares_again = declares_again
        self.refused_not_run = 0
        self.attempts = 0
        self.open_exchanges = 0
        self._serials = itertools.count(1)

    def start(self) -> None:
        """Sends the booking, sometimes twice."""
        self.send()
        world = self.site.world
        if self.sends_twice or world.generator.random() < _DOUBLE_SEND_SHARE:
            world.call_later(world.generator.expovariate(2.0), self.send)

    def send(self) -> None:
        """Sends the booking through a gateway."""
        if self.is_done:
            return
        node = self.choose_gateway()
        if node is None:
            self.site.world.call_later(0.5, self.send)
            return
        refused = self.refused_not_run if self.declares_again else 0
        is_first = self.attempts == refused
        self.attempts += 1
        request = gateway.CallRequest(
            request_id=f"{self.name}#{next(self._serials)}",
            key=self.name,
            workspace="all",
            service=_endpoints.SERVICE,
            method="POST",
            path="/bookings",
            repeatable=False,
            digest="same",
            first=is_first,
            runs_unlogged=self.site.shape.runs_unlogged,
        )
        exchange = Exchange(caller=self, node=node, request=request)
        self.open_exchanges += 1
        exchange.open()
        self.site.world.call_later(
            request.limit_s + _ANSWER_MARGIN_S,
            lambda: self._check_timeout(exchange),
        )

    def _check_timeout(self, exchange: Exchange) -> None:
        if not exchange.is_open or self.is_done:
            return
        node = exchange.node
        limit_s = exchange.request.limit_s + _ANSWER_MARGIN_S
        if (
            not node.is_paused
            and self.site.world.now - node.resumed_at > limit_s
        ):
            self.site.report.record_violation(
                "incomplete", f"{self.name}: silence"
            )
        exchange.close()
        self._retry("may_have_run,silence")

    def handle_gateway_loss(self, exchange: Exchange) -> None:
        """Retries the booking."""
        self._retry("may_have_run,gateway lost")

    def handle(self, exchange: Exchange, effect) -> None:
        """Handles the response of the gateway."""
        match effect:
            case gateway.Answer():
                if effect.body != self.name.encode():
                    self.site.report.record_violation(
                        "incomplete", f"{self.name} received another's answer"
                    )
                self.open_exchanges -= 1
                self.finish("complete")
            case gateway.Refuse(verdict=verdicts.NotRun()):
                self.site.oracle.record_call_not_run(
                    effect.request_id, self.name
                )
                self.refused_not_run += 1
                self._retry("refused_not_run")
            case gateway.Refuse():
                self._retry("may_have_run")

    def _retry(self, outcome: str) -> None:
        self.open_exchanges -= 1
        if self.is_done:
            return
        if self.attempts < _MAX_BOOKING_ATTEMPTS:
            world = self.site.world
            world.call_later(world.generator.uniform(0.05, 2.0), self.send)
        elif self.open_exchanges == 0:
            self.finish(outcome)


class LookupCaller(Caller):
    """Sends an idempotent call once, without retries."""

    def start(self) -> None:
        """Sends the call."""
        node = self.choose_gateway()
        if node is None:
            self.finish("refused_not_run")
            return
        request = gateway.CallRequest(
            request_id=self.name,
            key="",
            workspace="all",
            service=_endpoints.SERVICE,
            method="GET",
            path="/status",
            repeatable=True,
        )
        Exchange(caller=self, node=node, request=request).open()

    def handle_gateway_loss(self, exchange: Exchange) -> None:
        """Ends the request without a retry."""
        self.finish("may_have_run,gateway lost")

    def handle(self, exchange: Exchange, effect) -> None:
        """Handles the response of the gateway."""
        match effect:
            case gateway.Answer():
                self.finish("complete")
            case gateway.Refuse(verdict=verdicts.NotRun()):
                self.finish("refused_not_run")
            case gateway.Refuse():
                self.finish("may_have_run")
