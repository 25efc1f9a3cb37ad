"""Reads batches from standard input and answers each on standard output, for many instances at once."""

from __future__ import annotations

import sys
import traceback
from typing import BinaryIO

from .codec import Record, WireError, read_batch, write_reply
from .instance import Instance


def answer(instances: dict[int, Instance], now: float, records: list[Record]) -> list[Record]:
    """What all instances do about one batch; an instance's events keep their order."""
    replies: list[Record] = []
    pending: dict[int, list[Record]] = {}

    def flush(number: int) -> None:
        if due := pending.pop(number, None):
            if number not in instances:
                raise WireError(f"{due[0].name} for instance {number}, which is not running")
            try:
                replies.extend(instances[number].decide(now, due))
            except WireError:
                raise
            except Exception:  # noqa: BLE001 - the wire has an action of its own for a failed module
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
    """Serves until the input ends; gives the exit code, 1 for a broken wire."""
    instances: dict[int, Instance] = {}
    number = None
    try:
        while batch := read_batch(source):
            number = batch.number
            sink.write(write_reply(number, answer(instances, batch.now, batch.records)))
            sink.flush()
    except WireError as error:
        print(f"worksmux.bench_adapter: {error} (last whole batch: {number})", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.stdin.buffer, sys.stdout.buffer))
