"""The gateway's HTTP interface: errors, models, status pages, reload and stop."""

from __future__ import annotations

import json
import socket
from pathlib import Path

import msgspec
import pytest
from gateway_rig import PAIR, get_answer

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
    answer_status, _, reply = get_answer(rig, body)
    assert answer_status == status and json.loads(reply)["error"]["code"] == code
    assert not rig.fronts[0].core.open_requests and not rig.fronts[0].core.failed


def test_whole_answer_holds_text_and_usage(tmp_path: Path) -> None:
    status, _, body = get_answer(
        Rig(tmp_path, PAIR),
        json.dumps(
            {"model": "hint", "max_tokens": 7, "messages": [{"role": "user", "content": "why?"}]}
        ).encode(),
    )
    answer = json.loads(body)
    assert status == 200 and answer["choices"][0]["message"]["content"].split() == [
        f"w{index}" for index in range(7)
    ]
    assert answer["usage"]["completion_tokens"] == 7 and answer["choices"][0]["finish_reason"] == "stop"


def test_models_are_listed_and_wrong_methods_rejected(tmp_path: Path) -> None:
    status, _, body = get_answer(
        Rig(tmp_path / "a" if (tmp_path / "a").mkdir() is None else tmp_path, PAIR),
        b"",
        method="GET",
        path="/v1/models",
    )
    assert status == 200 and [model["id"] for model in json.loads(body)["data"]] == ["hint", "mark", "note"]
    (tmp_path / "b").mkdir()
    status, headers, _ = get_answer(Rig(tmp_path / "b", PAIR), b"", method="GET")
    assert status == 405 and headers["allow"] == "POST"


def test_stop_finishes_open_requests_first(tmp_path: Path) -> None:
    rig = Rig(tmp_path, PAIR, step=30.0)
    front = rig.front()
    answers: list[tuple[int, float]] = []
    body = json.dumps(
        {"model": "hint", "max_tokens": 20, "messages": [{"role": "user", "content": "x"}]}
    ).encode()
    ended_at: list[float] = []
    front.on_end = lambda: (ended_at.append(clock.now()), rig.reactor.callLater(0.05, rig.reactor.stop))
    rig.at(0, rig.send_request, body, lambda status, *_: answers.append((status, clock.now())))
    rig.at(200, front.stop)
    rig.run()
    assert [status for status, _ in answers] == [200] and ended_at and ended_at[0] >= answers[0][1] - 50


def test_reload_keeps_the_old_settings_where_the_new_are_wrong(tmp_path: Path) -> None:
    rig = Rig(tmp_path, PAIR)
    front = rig.front()
    settings_text = rig.text.replace('127.0.0.1:1"', f'127.0.0.1:{rig.registry.port}"')
    path = tmp_path / "front.kdl"
    path.write_text(settings_text.replace('keep-alive "5s"', 'keep-alive "7s"\n    buffered "3MiB"'))
    front.reload(str(path))
    assert front.settings.transport.keep_alive == 7000.0
    assert front.client_server.buffers.max_bytes == front.core.engine_buffers.max_bytes == 3 * 2**20
    for unusable_settings in (
        settings_text[: len(settings_text) // 2],
        settings_text.replace("trips 5", "trips 6"),
        "",
    ):
        path.write_text(unusable_settings)
        front.reload(str(path))
        assert front.settings.transport.keep_alive == 7000.0
    rig.reactor.callLater(0, rig.reactor.stop)
    rig.run()


def test_health_and_metrics_are_served_on_the_watch_port(tmp_path: Path) -> None:
    rig = Rig(tmp_path, PAIR)
    front = rig.front()
    answers: dict[str, tuple[int, bytes]] = {}
    pool = client.Pool(rig.reactor, "127.0.0.1", front.watch_port, 500.0, 100.0, 4, 65_536)

    def get(path: str) -> None:
        pool.call(
            "GET",
            path,
            client.BufferedResponse(
                2**20, lambda status, _, body, __: answers.update({path: (status, body)})
            ),
        )

    get("/health")
    rig.at(0, get, "/metrics")
    rig.at(0, get, "/ready")
    rig.at(200, rig.reactor.stop)
    rig.run()
    assert answers["/ready"][0] == 200 and b"worksmux_engines_ready 2.0" in answers["/metrics"][1]
    assert msgspec.json.encode(answers["/health"][0]) in (b"200", b"503")


def test_half_requests_beyond_the_limit_are_refused_and_usual_ones_served(tmp_path: Path) -> None:
    """Clients send a request but for its last bytes and stay; all together they exceed the memory."""
    rig = Rig(tmp_path, PAIR)
    front = rig.front()
    front.client_server.buffers.max_bytes = 200_000
    head = b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 50000\r\n\r\n"
    stopped = [socket.create_connection(("127.0.0.1", front.port)) for _ in range(12)]
    statuses: list[int] = []
    metrics: list[bytes] = []
    pool = client.Pool(rig.reactor, "127.0.0.1", front.watch_port, 500.0, 100.0, 4, 65_536)

    def get_metrics() -> None:
        pool.call(
            "GET", "/metrics", client.BufferedResponse(2**20, lambda *answer: metrics.append(answer[2]))
        )

    def send_usual() -> None:
        content = "x" * 30_000
        body = json.dumps(
            {"model": "hint", "max_tokens": 2, "messages": [{"role": "user", "content": content}]}
        )
        rig.send_request(body.encode(), lambda status, *_: statuses.append(status))

    for connection in stopped:
        connection.sendall(head + b"x" * 49_900)
    rig.at(100, send_usual)
    rig.at(600, get_metrics)
    rig.at(900, rig.reactor.stop)
    rig.run()
    assert statuses == [200] and front.client_server.buffers.total_bytes <= 200_000
    assert sum(answer.startswith(b"HTTP/1.1 503") for answer in map(received, stopped)) >= 8
    assert b'worksmux_buffers_discarded_total{connections="clients"}' in metrics[0]


def received(connection: socket.socket) -> bytes:
    """Returns what has arrived so far, and closes the connection."""
    connection.setblocking(False)
    try:
        return connection.recv(65_536)
    except BlockingIOError:
        return b""
    finally:
        connection.close()
