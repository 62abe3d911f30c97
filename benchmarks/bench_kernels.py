"""Measures the processor time of the kernels' decisions, without I/O.

Usage: python benchmarks/bench_kernels.py

Prints one JSON object per row. The gateway rows give, by the number of
endpoints, the microseconds per generation request, per relayed token and per
tick, and the bytes of control messages per request. Further rows give the
bytes of a lease renewal and the microseconds per request in a decode sidecar.
"""

import json
import logging
import random
import time

from sassafrasstile import gateway
from sassafrasstile import messages
from sassafrasstile import policies
from sassafrasstile import sidecar
from sassafrasstile import wire

_REQUESTS = 2000
_TICKS = 500
_TOKENS = 40


def make_gateway(count: int) -> gateway.GatewayKernel:
    roles = ["prefill"] * (count // 3) + ["decode"] * (count - count // 3)
    kernel = gateway.GatewayKernel(
        name="g",
        endpoints=[
            gateway.Endpoint(name=f"{role}-{index}", role=role, serves="m")
            for index, role in enumerate(roles)
        ],
        policy=policies.TwoChoices(generator=random.Random(1)),
    )
    for item in kernel.list_endpoints():
        kernel.connect(item.name, 0.0)
    return kernel


def find_effect(effects, kind):
    for effect in effects:
        if isinstance(getattr(effect, "message", None), kind):
            return effect
    raise LookupError(kind)


def measure_bytes(batch: messages.Batch) -> int:
    """Returns the encoded size of a batch that is not a stream's first."""
    return wire.encode(wire.strip_identity(batch)).ByteSize()


def measure_renewal() -> dict:
    renew = messages.Batch(
        sender="gateway-101",
        incarnation="0123456789ab",
        sent_at=1.5,
        messages=(messages.Renew(issued_below=500_000, live=(499_000,)),),
    )
    renewed = messages.Batch(
        sender="decode-101",
        incarnation="0123456789ab",
        load=messages.Load(slots=20, free_slots=10),
        messages=(messages.Renewed(),),
    )
    return {
        "kernel": "gateway",
        "renew_bytes": measure_bytes(renew),
        "renewed_bytes": measure_bytes(renewed),
    }


class Meter:
    """Measures the time of kernel calls and the bytes of control messages.

    Args:
        kernel: The gateway kernel to drive.

    Attributes:
        kernel: The gateway kernel.
        decisions_s: Processor time of all calls but those that relay tokens.
        tokens_s: Processor time of the calls that relay tokens.
        control_bytes: Bytes of all messages, in both directions, but those
            that carry tokens.
    """

    def __init__(self, kernel: gateway.GatewayKernel):
        self.kernel = kernel
        self.decisions_s = 0.0
        self.tokens_s = 0.0
        self.control_bytes = 0

    def reply(self, peer: str, message: messages.Message):
        batch = messages.Batch(
            sender=peer,
            incarnation="0123456789ab",
            load=messages.Load(slots=20, free_slots=10),
            messages=(message,),
        )
        began = time.process_time()
        effects = self.kernel.receive(peer, batch, 1.0)
        used_s = time.process_time() - began
        if isinstance(message, messages.Pieces):
            self.tokens_s += used_s
        else:
            self.decisions_s += used_s
            self.control_bytes += measure_bytes(batch)
        for effect in effects:
            if isinstance(effect, gateway.Send):
                self.count_bytes(effect.message)
        return effects

    def count_bytes(self, message: messages.Message) -> None:
        batch = messages.Batch(
            sender="gateway-101",
            incarnation="0123456789ab",
            target="ba9876543210",
            sent_at=1.5,
            messages=(message,),
        )
        self.control_bytes += measure_bytes(batch)

    def run_request(self, serial: int) -> None:
        request_id = f"workspace-17/req-{serial:032x}"
        request = gateway.GenerationRequest(
            request_id=request_id,
            workspace="w",
            model="m",
            prompt="",
            prompt_tokens=2000,
            max_tokens=_TOKENS,
        )
        began = time.process_time()
        effects = self.kernel.submit(request, 1.0)
        self.decisions_s += time.process_time() - began
        sent = find_effect(effects, messages.Reserve)
        self.count_bytes(sent.message)
        attempt = sent.message.attempt
        attempt_fields = {"request_id": request_id, "attempt": attempt}
        effects = self.reply(sent.peer, messages.Reserved(**attempt_fields))
        prefill = find_effect(effects, messages.Prefill)
        self.reply(
            prefill.peer,
            messages.Prefilled(
                request_id=request_id,
                attempt=prefill.message.attempt,
                source_address="http://10.0.0.1:8000",
                handle=request_id,
                computed_tokens=2000,
            ),
        )
        for offset in range(_TOKENS):
            pieces = messages.Pieces(
                offset=offset, texts=(" a",), **attempt_fields
            )
            self.reply(sent.peer, pieces)
        finished = messages.Finished(
            tokens=_TOKENS, reason="stop", **attempt_fields
        )
        self.reply(sent.peer, finished)


def measure_gateway(count: int) -> dict:
    kernel = make_gateway(count)
    meter = Meter(kernel)
    for serial in range(_REQUESTS):
        meter.run_request(serial)
    began = time.process_time()
    for index in range(_TICKS):
        kernel.tick(1.0 + index * 0.05)
    tick_s = (time.process_time() - began) / _TICKS
    return {
        "kernel": "gateway",
        "endpoints": count,
        "us_per_request": 1e6 * meter.decisions_s / _REQUESTS,
        "us_per_token": 1e6 * meter.tokens_s / _REQUESTS / _TOKENS,
        "us_per_tick": 1e6 * tick_s,
        "control_bytes_per_request": meter.control_bytes / _REQUESTS,
    }


def measure_sidecar() -> dict:
    kernel = sidecar.EngineKernel(
        name="d", incarnation="i", role="decode", model="m"
    )

    def receive(message):
        batch = messages.Batch(
            sender="g", incarnation="g.1", messages=(message,)
        )
        return kernel.receive(batch, 1.0)

    began = time.process_time()
    for serial in range(_REQUESTS):
        attempt_fields = {"request_id": f"r{serial}", "attempt": serial}
        receive(messages.Reserve(model="m", tokens=2000, **attempt_fields))
        receive(
            messages.Decode(
                model="m",
                prompt="",
                prompt_tokens=2000,
                max_tokens=_TOKENS,
                **attempt_fields,
            )
        )
        for _ in range(_TOKENS):
            kernel.add_tokens(f"r{serial}.g.1.{serial}", ("a",), now=1.0)
        kernel.finish_decode(f"r{serial}.g.1.{serial}", reason="stop", now=1.0)
        if serial % 20 == 0:
            kernel.tick(1.0 + serial)
    used_s = time.process_time() - began
    return {
        "kernel": "decode sidecar",
        "us_per_request_of_40_tokens": 1e6 * used_s / _REQUESTS,
    }


def main() -> None:
    for count in (12, 40, 80, 600):
        print(json.dumps(measure_gateway(count)), flush=True)
    print(json.dumps(measure_renewal()), flush=True)
    logging.disable(logging.CRITICAL)
    print(json.dumps(measure_sidecar()), flush=True)


if __name__ == "__main__":
    main()
