"""Chat requests: defaults, headers, and what is forwarded to the engines."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from worksmux.api import chat
from worksmux.api.errors import InvalidRequestError


def request(headers: dict[str, str] | None = None, **fields: Any) -> chat.ChatRequest:
    body = {
        "model": "hint",
        "messages": [{"role": "system", "content": "s" * 40}, {"role": "user", "content": "q"}],
    }
    return chat.parse_request(json.dumps({**body, **fields}).encode(), (headers or {}).get, {"hint": 0}, [50])


def test_defaults_come_from_request_class_and_first_message() -> None:
    one, other = (
        request(),
        request(messages=[{"role": "system", "content": "s" * 40}, {"role": "user", "content": "z"}]),
    )
    assert (
        one.max_tokens == 50
        and one.prefix == other.prefix != 0
        and one.prefix_tokens == 10
        and one.time_left_ms is None
    )
    assert (
        request(max_tokens=7).max_tokens == 7
        and request(max_completion_tokens=9, max_tokens=7).max_tokens == 9
    )
    assert request({chat.RETRY_COUNT: "2"}).is_retry and not request({chat.RETRY_COUNT: "0"}).is_retry
    assert request({chat.PREFIX: "lab"}).prefix != one.prefix and request(stream=None).stream is False


@pytest.mark.parametrize(
    "headers", [{chat.TIME_LEFT: "soon"}, {chat.TIME_LEFT: "-1"}, {chat.PREFIX_TOKENS: "nan"}]
)
def test_header_that_is_no_number_is_rejected(headers: dict[str, str]) -> None:
    with pytest.raises(InvalidRequestError):
        request(headers)


def test_unknown_fields_are_forwarded_unchanged() -> None:
    one = request(temperature=0.5, logit_bias={"7": 1}, stream=True)
    decode = json.loads(chat.decode_body(one, chat.KvParams("e", "h", 1, [3], "j")))
    assert decode["temperature"] == 0.5 and decode["logit_bias"] == {"7": 1} and decode["stream"] is True
    assert (
        decode["kv_transfer_params"]["remote_engine_id"] == "e"
        and decode["kv_transfer_params"]["remote_port"] == 1
    )
    prefill = json.loads(chat.prefill_body(one))
    assert (
        prefill["max_tokens"] == 1
        and prefill["stream"] is False
        and prefill["kv_transfer_params"]["do_remote_decode"]
    )


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_rejected_as_bad_request(body: bytes) -> None:
    with pytest.raises(InvalidRequestError):
        chat.parse_request(body, {}.get, {"hint": 0}, [50])
