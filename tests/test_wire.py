"""Tests the codec of the bench's wire protocol, without a bench."""

import io
import struct
import subprocess
import sys

import pytest

from worksmux.bench_adapter.codec import Record, WireError, read_batch, write_reply


def test_reply_has_the_layout_of_the_wire_protocol():
    frame = write_reply(
        12,
        [
            Record("route", (3, 0x5D3A91C4, bytes.fromhex("0a124a072b23"), 80.0)),
            Record("journal_line", (5, b"two servers unknown")),
        ],
    )
    assert frame[:12] == struct.pack("<III", 12 + 48 + 19, 2, 12)
    assert frame[12:36] == bytes.fromhex("010300c4913a5d0a124a072b230000000000005440") + bytes(3)
    assert frame[60:] == b"two servers unknown"


def test_error_on_a_truncated_frame_names_the_batch():
    frame = struct.pack("<IIdI", 1, 84, 0.0, 9) + b"\x07" + bytes(10)
    with pytest.raises(WireError, match="batch 9"):
        read_batch(io.BytesIO(frame))


def test_adapter_needs_nothing_but_the_standard_library():
    """The bench starts the adapter in an environment where no library is installed."""
    done = subprocess.run([sys.executable, "-S", "-c", "import worksmux.bench_adapter.instance"], check=False)
    assert done.returncode == 0
