import random
import unittest

from sassafrasstile import gateway
from sassafrasstile import messages
from sassafrasstile import policies

_TICK_S = 0.05


class SilentSidecarTest(unittest.TestCase):
    def start(self, *names, **settings):
        roles = {"p": "prefill", "d": "decode"}
        self.kernel = gateway.GatewayKernel(
            name="g",
            endpoints=[
                gateway.Endpoint(name=name, role=roles[name[0]], serves="m")
                for name in names
            ],
            policy=policies.LeastLoaded(generator=random.Random(1)),
            settings=gateway.GatewaySettings(**settings),
        )
        for name in names:
            self.kernel.connect(name, 0.0)

    def submit(self, **changes):
        request = gateway.GenerationRequest(
            request_id="r",
            workspace="w",
            model="m",
            prompt="p",
            prompt_tokens=10,
            max_tokens=4,
            **changes,
        )
        return self.kernel.submit(request, 0.0)

    def reply(self, peer, message, now):
        batch = messages.Batch(
            sender=peer,
            incarnation="x",
            load=messages.Load(slots=20, free_slots=20),
            messages=(message,),
        )
        return self.kernel.receive(peer, batch, now)

    def find_sent(self, effects, kind):
        return [
            (effect.peer, effect.message)
            for effect in effects
            if isinstance(effect, gateway.Send)
            and isinstance(effect.message, kind)
        ]

    def run_until(self, end, *, start, silent=()):
        """Ticks; sidecars that aren't silent answer each renewal."""
        effects = []
        for step in range(1, round((end - start) / _TICK_S) + 1):
            now = start + step * _TICK_S
            new = self.kernel.tick(now)
            effects.extend(new)
            for peer, _ in self.find_sent(new, messages.Renew):
                if peer not in silent:
                    effects.extend(self.reply(peer, messages.Renewed(), now))
        return effects

    def start_decode(self):
        """Runs a request up to its decode; returns endpoint and attempt."""
        [(peer, reserve)] = self.find_sent(self.submit(), messages.Reserve)
        reserved = messages.Reserved(request_id="r", attempt=reserve.attempt)
        effects = self.reply(peer, reserved, 0.0)
        [(_, prefill)] = self.find_sent(effects, messages.Prefill)
        prefilled = messages.Prefilled(
            request_id="r",
            attempt=prefill.attempt,
            source_address="a",
            handle="h",
            computed_tokens=10,
        )
        self.reply("p1", prefilled, 0.0)
        self.reply(peer, self.pieces(reserve.attempt, 0, "a"), 0.0)
        return peer, reserve.attempt

    def pieces(self, attempt, offset, *texts):
        return messages.Pieces(
            request_id="r", attempt=attempt, offset=offset, texts=texts
        )

    def list_delivered(self, effects):
        return [
            effect.texts
            for effect in effects
            if isinstance(effect, gateway.Deliver)
        ]

    def list_refused(self, effects):
        return [
            effect.verdict.code
            for effect in effects
            if isinstance(effect, gateway.Refuse)
        ]

    # Fails if the time before a renewal counts as silence too.
    def test_link_survives_a_silence_of_little_more_than_a_second(self):
        self.start("p1", "d1", "d2")
        peer, _ = self.start_decode()
        effects = self.run_until(1.55, start=0.0)
        effects.extend(self.run_until(2.85, start=1.55, silent=(peer,)))
        closed = [
            effect.peer
            for effect in effects
            if isinstance(effect, gateway.Reconnect)
        ]
        self.assertEqual(closed, [])
