"""I/O of the audit logs: appends to this node's log, fetches copies of other nodes' logs, answers queries.

Each round writes the decisions since the last round, and requests newer records from the nodes whose logs are
copied here. A query requests missing records from all nodes and from the holders of copies of their logs.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import msgspec
import structlog

from ...config_audit.audit_log import AuditLog, AuditRecord, Version, chain_faults
from ...config_audit.copies import (
    COPY_QUERY,
    CopyReply,
    CopyRequest,
    Message,
    copy_holders,
    first_page,
)
from ...config_audit.fleet_audit import FleetAudit
from ...net import clock
from ...net.loop import Reactor
from .audit_record_store import AuditRecordStore
from .audit_report import RequestReport, VersionsReport, request_report, versions_report

LOG = structlog.get_logger()
ROUND_INTERVAL_MS = 250.0
HEARTBEAT_INTERVAL_MS = 2000.0  # between two records; after it a heartbeat record is written
QUERY_TIMEOUT_MS = 1500.0  # after which a query is answered with the records received so far

_RECORD_DECODER = msgspec.msgpack.Decoder(AuditRecord)


@dataclass(frozen=True, slots=True)
class _QueryPart:
    """Records of `node`, requested from `holder`."""

    holder: str
    node: str


@dataclass(frozen=True, slots=True)
class _Query:
    """A query in progress; `on_done` is called once no part is awaited."""

    awaited: set[_QueryPart]
    on_done: Callable[[], None]


class AuditLogKeeper:
    """Appends, copies and collects audit logs.

    `send(node, message)` sends to another node; `nodes()` returns the names of all nodes, with this one.
    """

    def __init__(
        self,
        folder: Path,
        reactor: Reactor,
        name: str,
        send: Callable[[str, Message], None],
        nodes: Callable[[], list[str]],
    ) -> None:
        self._reactor, self._name, self._send, self._nodes = reactor, name, send, nodes
        self._store = AuditRecordStore(folder, name, ROUND_INTERVAL_MS)
        self._log = self._continue_log()
        self._query_number = COPY_QUERY
        self._queries: dict[int, _Query] = {}
        self._closed = False

    def _continue_log(self) -> AuditLog:
        """Returns this node's log, continued from the last record on disk."""
        records = [_RECORD_DECODER.decode(data) for data in self._store.records(self._name).values()]
        for fault in chain_faults(records):
            LOG.error("fault in this node's audit log on disk", after_index=fault.index, fault=fault.text)
        return AuditLog(records[-1] if records else None)

    def start(self, generation: int) -> None:
        """Records the start of the process and starts the rounds."""
        self._add(self._log.record_start(clock.wall(), clock.now(), generation))
        self._reactor.callLater(ROUND_INTERVAL_MS / 1000, self._run_round)

    def close(self) -> None:
        """Writes the remaining records and closes the store."""
        if not self._closed:
            self._closed = True
            self._add_due_records()
            self._store.close()

    # This node's own log

    def record_versions(self, versions: dict[str, Version]) -> None:
        """Records the active versions if they have changed."""
        record = self._log.record_versions(clock.wall(), clock.now(), versions)
        if record is not None:
            self._add(record)

    def record_decision(self, request: str, attempt: int) -> None:
        """Records a decision under the active versions; it is written in the next round."""
        self._log.record_decision(request, attempt, clock.wall())

    def _add(self, record: AuditRecord) -> None:
        self._store.put(self._name, record.index, msgspec.msgpack.encode(record))

    def _add_due_records(self) -> None:
        wall_ms, monotonic_ms = clock.wall(), clock.now()
        for record in self._log.flush_decisions(wall_ms, monotonic_ms):
            self._add(record)
        heartbeat = self._log.heartbeat(wall_ms, monotonic_ms, HEARTBEAT_INTERVAL_MS)
        if heartbeat is not None:
            self._add(heartbeat)

    # Copies

    def _run_round(self) -> None:
        if self._closed:
            return
        self._reactor.callLater(ROUND_INTERVAL_MS / 1000, self._run_round)
        self._add_due_records()
        nodes = self._nodes()
        for node in nodes:
            if node != self._name and self._name in copy_holders(node, nodes):
                self._request(node, node, COPY_QUERY)

    def _request(self, holder: str, node: str, query_number: int) -> None:
        """Requests the records of `node` that are newer than those stored here from `holder`."""
        self._send(holder, CopyRequest(node, self._store.last_index(node), query_number))

    def on_message(self, sender: str, message: Message) -> None:
        """Handles a message of another node."""
        match message:
            case CopyRequest():
                self._on_request(sender, message)
            case CopyReply():
                self._on_reply(sender, message)

    def _on_request(self, sender: str, request: CopyRequest) -> None:
        synced = self._store.synced_records(request.node)
        page = first_page([data for index, data in synced.items() if index > request.after_index])
        last_index = max(synced, default=0)
        reply = CopyReply(request.node, request.after_index, page, last_index, request.query_number)
        self._send(sender, reply)

    def _on_reply(self, sender: str, reply: CopyReply) -> None:
        if reply.node == self._name:
            return  # the own disk is the only source of this node's log
        for data in reply.records:
            try:
                index = _RECORD_DECODER.decode(data).index
            except msgspec.DecodeError:
                LOG.warning(
                    "copy of an audit record cannot be decoded; ignored", node=reply.node, sender=sender
                )
                return
            if index not in self._store.records(reply.node):
                self._store.put(reply.node, index, data)
        if reply.query_number == COPY_QUERY:
            return
        if reply.records and self._store.last_index(reply.node) < reply.last_index:
            self._request(sender, reply.node, reply.query_number)
        else:
            self._on_part_done(reply.query_number, _QueryPart(sender, reply.node))

    # Queries

    def collect(self, on_done: Callable[[], None]) -> None:
        """Requests missing records from every node and from the holders of copies of its log.

        `on_done` is called once all have answered, or after QUERY_TIMEOUT_MS.
        """
        self._query_number += 1
        number = self._query_number
        parts = self._query_parts()
        for part in parts:
            self._request(part.holder, part.node, number)
        self._add_due_records()
        self._queries[number] = _Query(parts, on_done)
        if parts:
            self._reactor.callLater(QUERY_TIMEOUT_MS / 1000, self._finish_query, number)
        else:
            self._finish_query(number)

    def _query_parts(self) -> set[_QueryPart]:
        nodes = self._nodes()
        return {
            _QueryPart(holder, node)
            for node in nodes
            if node != self._name
            for holder in {node, *copy_holders(node, nodes)} - {self._name}
        }

    def _on_part_done(self, number: int, part: _QueryPart) -> None:
        query = self._queries.get(number)
        if query is None:
            return
        query.awaited.discard(part)
        if not query.awaited:
            self._finish_query(number)

    def _finish_query(self, number: int) -> None:
        query = self._queries.pop(number, None)
        if query is not None and not self._closed:
            query.on_done()

    def report(self, at_ms: float | None, request: str) -> RequestReport | VersionsReport:
        """Returns the report of all logs stored here on `request`, or on the versions if it is empty.

        `at_ms` is a time of the wall clock and limits the versions to those active at that time.
        """
        audit = self._fleet_audit()
        if request:
            return request_report(audit, request)
        return versions_report(audit, at_ms, clock.wall())

    def _fleet_audit(self) -> FleetAudit:
        audit = FleetAudit()
        for node in self._store.nodes():
            audit.add(node, [_RECORD_DECODER.decode(data) for data in self._store.records(node).values()])
        return audit
