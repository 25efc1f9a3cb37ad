"""A flood of embeddings beside chat, over sockets on loopback: `python -m benchmarks.flood [SECONDS]`.

One process holds registry, engines, front and clients.  Chat's clients ask an offering while one of its two
answering engines works at half speed; embeddings come at ten times what their engines can do, each refused
client coming back at once, once.  Beside it in the same run: the same day without
the flood, and the flood with no gate (every call goes to the lane as it comes).
"""

from __future__ import annotations

import contextlib
import io
import json
import random
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

from worksmux.admission.controller import AdmissionController, AdmissionRequest, AdmissionResult, RequestState
from worksmux.api import embeddings
from worksmux.checker.report import summary
from worksmux.fault_trial.small import FIGURES, SETTINGS, Rig
from worksmux.gateway import serve

SPEED = 1_000.0  # tokens a second of an embeddings engine; two of them
INPUTS, TOKENS = 10, 10  # of a call
FLEET = [("prefill", 0), ("decode", 0), ("decode", 0), ("embedder", 0), ("embedder", 0)]
TEXT = (
    SETTINGS
    + """
kind "embedder" role="both" memory=1000000 call="embeddings"
offering "vectors" {
    call "embeddings"
    promised-time "1s"
    outer-limit "2s"
    effect "redoable"
    credit 0.2
}
admission {
    load-tokens 400
    load-inputs 32
    line-tokens 30000
    line-calls 2000
    open-calls 3000
    stay-away "100ms" "5s"
}
"""
)


class NoGate(AdmissionController):
    """Lets every call in as it comes."""

    def arrived(self, now: float, asked: AdmissionRequest) -> AdmissionResult:
        asked.state = RequestState.ADMITTED
        return AdmissionResult(admitted=[asked])

    def ended(self, now: float, asked: AdmissionRequest, elapsed: float, good: bool) -> AdmissionResult:
        asked.state = RequestState.ENDED
        return AdmissionResult()


def play(seconds: float, flood: float, gate: type[AdmissionController]) -> dict[str, Any]:
    """`flood` in times the embeddings engines' capacity."""
    serve.AdmissionController = gate  # type: ignore[misc]
    with tempfile.TemporaryDirectory() as name, contextlib.redirect_stdout(io.StringIO()):
        rig = Rig(Path(name), FLEET, text=TEXT)
        for engine in rig.engines[3:]:
            engine.spec.read_speed = SPEED
        rig.front()
        chance, ends = random.Random(1), Counter()  # type: random.Random, Counter[int]
        good: list[int] = []
        rate = flood * 2 * SPEED / (INPUTS * TOKENS) / 1000

        def ask(number: int, again: bool) -> None:
            texts = [f"{number} {at} ".ljust(4 * TOKENS, "x") for at in range(INPUTS)]
            body = {
                "model": "vectors",
                "input": texts,
                "user": f"u{number % 20}",
                "encoding_format": "base64",
            }

            def ended(status: int, head: dict[str, str], reply: bytes, trouble: Any) -> None:
                ends[status] += 1
                if status == 200:
                    good.append(len(json.loads(reply)["data"]))
                elif status in (429, 503) and again:
                    ask(number, False)

            rig.send_request(json.dumps(body).encode(), ended, path=embeddings.PATH)

        at, number = 0.0, 0
        while rate and at < 1000 * seconds:
            at += chance.expovariate(rate)
            number += 1
            rig.at(at, ask, number, True)
        rig.reactor.callLater(0.1, lambda: rig.inject_fault(rig.engines[1], "slow", factor=2.0))
        records = rig.run_clients(length=1000 * seconds, rate=30.0, patience=0.9)
        told = summary(records, FIGURES)
        return {
            "chat credit": told["credit_share"],
            "kept": told["kept"],
            "first p99": told["first_ms"]["p99"],
            "goodput": sum(good) * TOKENS / (2 * SPEED * seconds),
            "calls": number,
            "ends": dict(ends),
        }


def main() -> None:
    seconds = float([*sys.argv[1:], "6"][0])
    quiet = play(seconds, 0.0, AdmissionController)
    print(f"{seconds:g} s; chat alone: {quiet}", flush=True)
    for name, flood, gate in (
        ("half of capacity", 0.5, AdmissionController),
        ("10 times, with the gate", 10.0, AdmissionController),
        ("10 times, no gate", 10.0, NoGate),
    ):
        found = play(seconds, flood, gate)
        share = found["chat credit"] / quiet["chat credit"]
        print(
            f"{name}: chat at {share:.3f} of its credit alone; embeddings served {found['goodput']:.2f} of "
            f"capacity; {found}",
            flush=True,
        )


if __name__ == "__main__":
    main()
