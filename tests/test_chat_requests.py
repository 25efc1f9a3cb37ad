"""Chat requests: defaults, headers, and what is forwarded to the engines."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from worksmux.api import chat
from worksmux.api.errors import InvalidRequestError


def new_request(headers: dict[str, str] | None = None, **fields: Any) -> chat.ChatRequest:
    """Parses a request with a system message of 40 bytes."""
    body = {
        "model": "hint",
        "messages": [{"role": "system", "content": "s" * 40}, {"role": "user", "content": "q"}],
    }
    return chat.parse_request(json.dumps({**body, **fields}).encode(), (headers or {}).get, {"hint": 0}, [50])


def test_defaults_come_from_request_class_and_first_message() -> None:
    chat_request, other = (
        new_request(),
        new_request(messages=[{"role": "system", "content": "s" * 40}, {"role": "user", "content": "z"}]),
    )
    assert (
        chat_request.max_tokens == 50
        and chat_request.prefix == other.prefix != 0
        and chat_request.prefix_tokens == 10
        and chat_request.time_left_ms is None
    )
    assert (
        new_request(max_tokens=7).max_tokens == 7
        and new_request(max_completion_tokens=9, max_tokens=7).max_tokens == 9
    )
    assert new_request({chat.RETRY_COUNT: "2"}).is_retry and not new_request({chat.RETRY_COUNT: "0"}).is_retry
    assert (
        new_request({chat.PREFIX: "lab"}).prefix != chat_request.prefix
        and new_request(stream=None).stream is False
    )


@pytest.mark.parametrize(
    "headers", [{chat.TIME_LEFT: "soon"}, {chat.TIME_LEFT: "-1"}, {chat.PREFIX_TOKENS: "nan"}]
)
def test_header_that_is_no_number_is_rejected(headers: dict[str, str]) -> None:
    with pytest.raises(InvalidRequestError):
        new_request(headers)


def test_unknown_fields_are_forwarded_unchanged() -> None:
    chat_request = new_request(temperature=0.5, logit_bias={"7": 1}, stream=True)
    decode = json.loads(chat.decode_body(chat_request, chat.KvParams("e", "h", 1, [3], "j")))
    assert decode["temperature"] == 0.5 and decode["logit_bias"] == {"7": 1} and decode["stream"] is True
    assert (
        decode["kv_transfer_params"]["remote_engine_id"] == "e"
        and decode["kv_transfer_params"]["remote_port"] == 1
    )
    prefill = json.loads(chat.prefill_body(chat_request))
    assert (
        prefill["max_tokens"] == 1
        and prefill["stream"] is False
        and prefill["kv_transfer_params"]["do_remote_decode"]
    )


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_rejected_as_bad_request(body: bytes) -> None:
    with pytest.raises(InvalidRequestError):
        chat.parse_request(body, {}.get, {"hint": 0}, [50])
