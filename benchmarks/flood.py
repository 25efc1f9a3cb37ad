"""A flood of embeddings beside chat, over sockets on loopback: `python -m benchmarks.flood [SECONDS]`.

One process holds the registry, engines, a node and the clients. Chat clients send requests of one class while
one of its two decode engines works at half speed. Embeddings arrive at ten times the capacity of their
engines, and each rejected client retries once, at once. The same run also has the chat load without the
flood, and the flood without admission control (every request is forwarded as it comes).
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

TOKENS_PER_S = 1_000.0  # of one embeddings engine; there are two
INPUTS_PER_REQUEST, TOKENS_PER_INPUT = 10, 10
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


class NoAdmissionControl(AdmissionController):
    """Admits every request as it comes."""

    def arrived(self, now: float, request: AdmissionRequest) -> AdmissionResult:
        """Admits the request."""
        request.state = RequestState.ADMITTED
        return AdmissionResult(admitted=[request])

    def ended(
        self, now: float, request: AdmissionRequest, elapsed: float, served_inputs: bool
    ) -> AdmissionResult:
        """Records the end of the request."""
        request.state = RequestState.ENDED
        return AdmissionResult()


def play(seconds: float, load: float, controller_type: type[AdmissionController]) -> dict[str, Any]:
    """Runs chat beside embeddings at `load` times the capacity of the embeddings engines; returns the
    figures.
    """
    serve.AdmissionController = controller_type  # type: ignore[misc]
    with tempfile.TemporaryDirectory() as name, contextlib.redirect_stdout(io.StringIO()):
        rig = Rig(Path(name), FLEET, text=TEXT)
        for engine in rig.engines[3:]:
            engine.spec.read_speed = TOKENS_PER_S
        rig.front()
        random_source, ends = random.Random(1), Counter()  # type: random.Random, Counter[int]
        served_inputs: list[int] = []
        rate = load * 2 * TOKENS_PER_S / (INPUTS_PER_REQUEST * TOKENS_PER_INPUT) / 1000

        def send_request(number: int, may_retry: bool) -> None:
            texts = [
                f"{number} {index} ".ljust(4 * TOKENS_PER_INPUT, "x") for index in range(INPUTS_PER_REQUEST)
            ]
            body = {
                "model": "vectors",
                "input": texts,
                "user": f"u{number % 20}",
                "encoding_format": "base64",
            }

            def ended(status: int, head: dict[str, str], reply: bytes, error: Any) -> None:
                ends[status] += 1
                if status == 200:
                    served_inputs.append(len(json.loads(reply)["data"]))
                elif status in (429, 503) and may_retry:
                    send_request(number, False)

            rig.send_request(json.dumps(body).encode(), ended, path=embeddings.PATH)

        time_ms, number = 0.0, 0
        while rate and time_ms < 1000 * seconds:
            time_ms += random_source.expovariate(rate)
            number += 1
            rig.at(time_ms, send_request, number, True)
        rig.reactor.callLater(0.1, lambda: rig.inject_fault(rig.engines[1], "slow", factor=2.0))
        records = rig.run_clients(length=1000 * seconds, rate=30.0, patience=0.9)
        report = summary(records, FIGURES)
        return {
            "chat credit": report["credit_share"],
            "kept": report["kept"],
            "first p99": report["first_ms"]["p99"],
            "goodput": sum(served_inputs) * TOKENS_PER_INPUT / (2 * TOKENS_PER_S * seconds),
            "calls": number,
            "ends": dict(ends),
        }


def main() -> None:
    """Runs chat alone and beside embeddings, and prints the figures."""
    seconds = float([*sys.argv[1:], "6"][0])
    chat_alone = play(seconds, 0.0, AdmissionController)
    print(f"{seconds:g} s; chat alone: {chat_alone}", flush=True)
    for name, load, controller_type in (
        ("half of capacity", 0.5, AdmissionController),
        ("10 times, with admission control", 10.0, AdmissionController),
        ("10 times, without admission control", 10.0, NoAdmissionControl),
    ):
        result = play(seconds, load, controller_type)
        share = result["chat credit"] / chat_alone["chat credit"]
        print(
            f"{name}: chat at {share:.3f} of its credit alone; embeddings served {result['goodput']:.2f} of "
            f"capacity; {result}",
            flush=True,
        )


if __name__ == "__main__":
    main()
