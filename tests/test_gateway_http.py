"""The gateway's HTTP side: errors, models, status pages, reload and stop."""

from __future__ import annotations

import json
from pathlib import Path

import msgspec
import pytest
from gateway_rig import PAIR, answer_of

from worksmux.fault_trial.small import Rig
from worksmux.net import client, clock


@pytest.mark.parametrize(
    ("body", "status", "code"),
    [
        (b"{", 400, None),
        (b"[]", 400, None),
        (b'{"model": "hint", "messages": []}', 400, None),
        (b'{"model": "none", "messages": [{"role": "user", "content": "x"}]}', 404, "model_not_found"),
        (b'{"model": "hint", "n": 2, "messages": [{"role": "user", "content": "x"}]}', 400, None),
        (b'{"model": "hint", "max_tokens": 0, "messages": [{"role": "user", "content": "x"}]}', 400, None),
        (
            b'{"model": "hint", "messages": [{"role": "user", "content": "' + b"x" * 70_000 + b'"}]}',
            413,
            "body_too_long",
        ),
        (b'{"model": "hint", "messages": [{"role": "user", "content": "\xff"}]}', 400, None),
    ],
)
def test_bad_requests_get_an_error_in_the_form_of_the_api(
    tmp_path: Path, body: bytes, status: int, code: str | None
) -> None:
    rig = Rig(tmp_path, PAIR)
    got, _, reply = answer_of(rig, body)
    assert got == status and json.loads(reply)["error"]["code"] == code
    assert not rig.fronts[0].core.open_requests and not rig.fronts[0].core.failed


def test_whole_answer_holds_text_and_usage(tmp_path: Path) -> None:
    status, _, body = answer_of(
        Rig(tmp_path, PAIR),
        json.dumps(
            {"model": "hint", "max_tokens": 7, "messages": [{"role": "user", "content": "why?"}]}
        ).encode(),
    )
    told = json.loads(body)
    assert status == 200 and told["choices"][0]["message"]["content"].split() == [f"w{at}" for at in range(7)]
    assert told["usage"]["completion_tokens"] == 7 and told["choices"][0]["finish_reason"] == "stop"


def test_models_are_listed_and_wrong_methods_rejected(tmp_path: Path) -> None:
    status, _, body = answer_of(
        Rig(tmp_path / "a" if (tmp_path / "a").mkdir() is None else tmp_path, PAIR),
        b"",
        method="GET",
        path="/v1/models",
    )
    assert status == 200 and [one["id"] for one in json.loads(body)["data"]] == ["hint", "mark", "note"]
    (tmp_path / "b").mkdir()
    status, headers, _ = answer_of(Rig(tmp_path / "b", PAIR), b"", method="GET")
    assert status == 405 and headers["allow"] == "POST"


def test_stop_finishes_open_requests_first(tmp_path: Path) -> None:
    rig = Rig(tmp_path, PAIR, step=30.0)
    front = rig.front()
    heard: list[tuple[int, float]] = []
    body = json.dumps(
        {"model": "hint", "max_tokens": 20, "messages": [{"role": "user", "content": "x"}]}
    ).encode()
    ended: list[float] = []
    front.on_end = lambda: (ended.append(clock.now()), rig.reactor.callLater(0.05, rig.reactor.stop))
    rig.at(0, rig.send_request, body, lambda status, *_: heard.append((status, clock.now())))
    rig.at(200, front.stop)
    rig.run()
    assert [status for status, _ in heard] == [200] and ended and ended[0] >= heard[0][1] - 50


def test_reload_keeps_the_old_settings_where_the_new_are_wrong(tmp_path: Path) -> None:
    rig = Rig(tmp_path, PAIR)
    front = rig.front()
    good = rig.text.replace('127.0.0.1:1"', f'127.0.0.1:{rig.registry.port}"')
    path = tmp_path / "front.kdl"
    path.write_text(good.replace('keep-alive "5s"', 'keep-alive "7s"'))
    front.reload(str(path))
    assert front.settings.transport.keep_alive == 7000.0
    for wrong in (good[: len(good) // 2], good.replace("trips 5", "trips 6"), ""):
        path.write_text(wrong)
        front.reload(str(path))
        assert front.settings.transport.keep_alive == 7000.0
    rig.reactor.callLater(0, rig.reactor.stop)
    rig.run()


def test_health_and_metrics_are_served_on_the_watch_port(tmp_path: Path) -> None:
    rig = Rig(tmp_path, PAIR)
    front = rig.front()
    heard: dict[str, tuple[int, bytes]] = {}
    pool = client.Pool(rig.reactor, "127.0.0.1", front.watch_port, 500.0, 100.0, 4, 65_536)

    def get(path: str) -> None:
        pool.call(
            "GET",
            path,
            client.BufferedResponse(2**20, lambda status, _, body, __: heard.update({path: (status, body)})),
        )

    get("/health")
    rig.at(0, get, "/metrics")
    rig.at(0, get, "/ready")
    rig.at(200, rig.reactor.stop)
    rig.run()
    assert heard["/ready"][0] == 200 and b"worksmux_engines_ready 2.0" in heard["/metrics"][1]
    assert msgspec.json.encode(heard["/health"][0]) in (b"200", b"503")
