"""The shell of a front's account: written to disk as it grows, copied by two other fronts, asked for by any.

The account lies in the fleet's folder; writing goes by the store's own thread, several records at once, so
that no job waits for it.  What was not written when a process is killed is a gap, and shows as one.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import structlog

from ...config_audit.audit_log import AuditLog, AuditRecord, Version, chain_faults
from ...config_audit.copies import CopyReply, CopyRequest, Message, copy_holders, first_page
from ...config_audit.fleet_audit import FleetAudit
from ...net import clock
from ...net.loop import Reactor
from ...storage.database import open_store
from ...storage.writer import Writer

LOG = structlog.get_logger()
EVERY = 250.0  # milliseconds between two writes, and between two rounds of copying
MOST = 16 * 2**20  # bytes kept of this front, and of each front copied
QUIET = 2000.0  # without any record, until one says that the front goes on
PATIENCE = 1500.0  # that an answer for all waits for others
OWN = "account"


def _table(front: str) -> str:
    return f"copy:{front}"


class AuditLogKeeper:
    """`send(front, message)` goes to another front; `fronts()` are the names of all, this one included."""

    def __init__(
        self,
        folder: Path,
        reactor: Reactor,
        name: str,
        send: Callable[[str, Message], None],
        fronts: Callable[[], list[str]],
    ) -> None:
        self.reactor, self.name, self.send, self.fronts = reactor, name, send, fronts
        self.store = open_store(folder / "account.db")
        for note in self.store.notes:
            LOG.warning("the account's disk", note=note)
        self.kept: dict[str, dict[int, bytes]] = {}  # by front: records, encoded; this front's own among them
        self.sizes: Counter[str] = Counter()
        self._load()
        self.account = self._go_on()
        self.writer = Writer(self.store, EVERY / 1000, lambda text: LOG.error("account", why=text))
        self.number = 0
        self.asking: dict[int, tuple[set[str], Callable[[], None]]] = {}
        self.ended = False

    def _load(self) -> None:
        tables = self.store.database.execute("SELECT DISTINCT tab FROM record").fetchall()
        for (table,) in tables:
            front = self.name if table == OWN else str(table).removeprefix("copy:")
            values = self.store.read(str(table)).values
            self.kept[front] = {int(key): value for key, value in sorted(values.items()) if key.isdecimal()}
            self.sizes[front] = sum(map(len, self.kept[front].values()))
        self.kept.setdefault(self.name, {})

    def _go_on(self) -> AuditLog:
        records = [msgspec.msgpack.decode(data, type=AuditRecord) for data in self.kept[self.name].values()]
        for fault in chain_faults(records):
            LOG.error("the account is broken", after=fault.index, why=fault.text)
        return AuditLog(records[-1] if records else None)

    def start(self, life: int) -> None:
        self._add(self.account.record_start(clock.wall(), clock.now(), life))
        self.reactor.callLater(EVERY / 1000, self._round)

    def close(self) -> None:
        if not self.ended:
            self.ended = True
            self._pages()
            self.writer.close()

    # This front's own.

    def acts_on(self, versions: dict[str, Version]) -> None:
        record = self.account.record_versions(clock.wall(), clock.now(), versions)
        if record is not None:
            self._add(record)

    def _add(self, record: AuditRecord) -> None:
        self._keep(self.name, record.index, msgspec.msgpack.encode(record))

    def _pages(self) -> None:
        wall, steady = clock.wall(), clock.now()
        for record in self.account.flush_decisions(wall, steady):
            self._add(record)
        if (quiet := self.account.heartbeat(wall, steady, QUIET)) is not None:
            self._add(quiet)

    def _keep(self, front: str, index: int, data: bytes) -> None:
        kept, table = self.kept.setdefault(front, {}), OWN if front == self.name else _table(front)
        kept[index] = data
        self.sizes[front] += len(data)
        self.writer.put(table, f"{index:015d}", data)
        while self.sizes[front] > MOST and len(kept) > 1:
            oldest = next(iter(kept))
            self.sizes[front] -= len(kept.pop(oldest))
            self.writer.put(table, f"{oldest:015d}", None)

    def _round(self) -> None:
        if self.ended:
            return
        self.reactor.callLater(EVERY / 1000, self._round)
        self._pages()
        names = self.fronts()
        for front in names:
            if front != self.name and self.name in copy_holders(front, names):
                self.send(front, CopyRequest(front, self._newest(front)))

    def _newest(self, front: str) -> int:
        return max(self.kept.get(front, {}), default=0)

    # Others.

    def heard(self, name: str, message: Message) -> None:
        match message:
            case CopyRequest(front, after, number):
                kept = self._on_disk(front)
                records = first_page([data for index, data in kept.items() if index > after])
                self.send(name, CopyReply(front, after, records, max(kept, default=0), number))
            case CopyReply(front, _, records, last, number):
                self._have(name, front, records, last, number)

    def _on_disk(self, front: str) -> dict[int, bytes]:
        """Guards against a copy that knows what its front forgot: a front killed before it wrote goes on
        under numbers that a copy would hold with another content."""
        waits = self.writer.waits(OWN if front == self.name else _table(front))
        return {
            index: data for index, data in self.kept.get(front, {}).items() if f"{index:015d}" not in waits
        }

    def _have(self, name: str, front: str, records: list[bytes], last: int, number: int) -> None:
        if front == self.name:
            return  # of itself a front believes its own disk alone
        for data in records:
            try:
                index = msgspec.msgpack.decode(data, type=AuditRecord).index
            except msgspec.DecodeError:
                LOG.warning("a copied record cannot be read", of=front, by=name)
                return
            if index not in self.kept.get(front, {}):
                self._keep(front, index, data)
        if number and records and self._newest(front) < last:
            self.send(name, CopyRequest(front, self._newest(front), number))
        elif number:
            self._answered(number, f"{name} {front}")

    # For who asks.

    def gather(self, then: Callable[[], None]) -> None:
        """Asks every front and its keepers for what is lacking here; calls `then` once they have answered, or
        after a while."""
        names = self.fronts()
        self.number += 1
        asked: set[str] = set()
        for front in names:
            for other in {front, *copy_holders(front, names)} - {self.name}:
                if front != self.name:
                    asked.add(f"{other} {front}")
                    self.send(other, CopyRequest(front, self._newest(front), self.number))
        self._pages()
        self.asking[self.number] = asked, then
        if not asked:
            self._over(self.number)
        else:
            self.reactor.callLater(PATIENCE / 1000, self._over, self.number)

    def _answered(self, number: int, who: str) -> None:
        if number in self.asking:
            self.asking[number][0].discard(who)
            if not self.asking[number][0]:
                self._over(number)

    def _over(self, number: int) -> None:
        found = self.asking.pop(number, None)
        if found is not None and not self.ended:
            found[1]()

    def accounts(self) -> FleetAudit:
        found = FleetAudit()
        for front, kept in self.kept.items():
            found.add(front, [msgspec.msgpack.decode(data, type=AuditRecord) for data in kept.values()])
        return found

    def told(self, at: float | None, request: str) -> dict[str, Any]:
        """What all accounts say, as far as they are known here."""
        accounts, until = self.accounts(), clock.wall()
        if request:
            return {
                "job": request,
                "decisions": [
                    {
                        "front": one.node,
                        "trip": one.decision.attempt,
                        "at": one.decision.at_ms,
                        "line": one.decision.versions_number,
                        "versions": msgspec.to_builtins(one.versions),
                    }
                    for one in accounts.explain(request)
                ],
            }
        fronts = sorted(accounts.records)
        spans = (
            accounts.spans_at(at).values()
            if at is not None
            else [span for front in fronts for span in accounts.spans(front, until)]
        )
        return {
            "fronts": fronts,
            "spans": [msgspec.to_builtins(span) for span in spans],
            "findings": [msgspec.to_builtins(one) for one in accounts.findings()],
        }
