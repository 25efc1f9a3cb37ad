"""Reads batches of events from standard input and writes a reply to each, for many instances at once."""

from __future__ import annotations

import sys
import traceback
from typing import BinaryIO

from .codec import Record, WireError, read_batch, write_reply
from .instance import Instance


def answer_batch(instances: dict[int, Instance], now: float, records: list[Record]) -> list[Record]:
    """Returns the actions of all instances on one batch; the events of an instance keep their order."""
    replies: list[Record] = []
    pending: dict[int, list[Record]] = {}

    def flush(number: int) -> None:
        if instance_records := pending.pop(number, None):
            if number not in instances:
                raise WireError(
                    f"record {instance_records[0].name!r} is for instance {number}, which is not running"
                )
            try:
                replies.extend(instances[number].decide(now, instance_records))
            except WireError:
                raise
            except Exception:  # noqa: BLE001 - the wire reports a failed policy with an action
                traceback.print_exc()
                text = traceback.format_exc(limit=-3).encode()[-800:]
                replies.append(Record("give_in", (number, text)))

    for record in records:
        number = record.values[0]
        if record.name == "down":
            flush(number)
            instances.pop(number, None)
        elif record.name == "configure":
            flush(number)
            instances[number] = Instance(number, record.values[1], record.values[2])
        else:
            pending.setdefault(number, []).append(record)
    for number in list(pending):
        flush(number)
    return replies


def main(source: BinaryIO, sink: BinaryIO) -> int:
    """Serves until the input ends; returns the exit code, 1 after a malformed frame or a closed output."""
    instances: dict[int, Instance] = {}
    number = None
    try:
        while batch := read_batch(source):
            number = batch.number
            sink.write(write_reply(number, answer_batch(instances, batch.now, batch.records)))
            sink.flush()
    except WireError as error:
        print(f"worksmux.bench_adapter: {error} (last complete batch: {number})", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.stdin.buffer, sys.stdout.buffer))
