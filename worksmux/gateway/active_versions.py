"""Versions of what a gateway acts on: its program, settings, tokenizers, endpoint list and failover plan."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import xxhash

from ..config_audit.audit_log import Version
from ..endpoints.list_reader import EndpointListReader
from ..failover.plan import Plan, encode
from ..settings.front import GatewaySettings

NO_SERIAL = -1  # no endpoint list has been digested


def _digest(data: bytes) -> str:
    return f"{xxhash.xxh3_64_intdigest(data):016x}"


class ActiveVersions:
    """Computes the versions that the audit log records with each decision.

    The program, the settings and the tokenizers are digested once, as the process starts.  The plan and the
    endpoint list are digested again when they change.
    """

    def __init__(self, settings: GatewaySettings) -> None:
        self._fixed_versions = {
            "program": Version(0, self._program_digest()),
            "settings": Version(0, self._settings_digest(settings)),
        }
        for name, path in sorted(settings.tokenizers.items()):
            self._fixed_versions[f"tokenizer {name}"] = Version(0, _digest(Path(path).read_bytes()))
        self._plan: Plan | None = None
        self._plan_digest = ""
        self._list_serial, self._list_digest = NO_SERIAL, ""

    @staticmethod
    def _program_digest() -> str:
        program_hash = xxhash.xxh3_64()
        for path in sorted(Path(__file__).resolve().parent.parent.rglob("*.py")):
            program_hash.update(path.read_bytes())
        return program_hash.hexdigest()

    @staticmethod
    def _settings_digest(settings: GatewaySettings) -> str:
        """The digest of the settings that all gateways share.

        Settings that differ between gateways are left out, so that digests can be compared across the fleet.
        """
        module = replace(settings.policy_settings, node_index=0, zone=0)  # differ between gateways
        shared = repr(
            (
                settings.zones,
                settings.request_classes,
                settings.kinds,
                settings.transport,
                settings.stages,
                settings.admission,
                sorted(settings.regions.items()),
                module,
            )
        )
        return _digest(shared.encode())

    def versions(self, plan: Plan, is_isolated: bool, list_reader: EndpointListReader) -> dict[str, Version]:
        """The current version of each item, by name.

        `is_isolated` states that the gateway has lost contact with its fleet and acts on the last plan that
        it received.
        """
        if plan is not self._plan:
            self._plan, self._plan_digest = plan, _digest(encode(plan))
        if list_reader.serial != self._list_serial:
            # The content is digested, not the serial: a registry that restarted may send the same list with
            # another serial.
            endpoints = sorted(
                (known.line.id, known.line.state, known.line.started) for known in list_reader.known.values()
            )
            self._list_serial, self._list_digest = list_reader.serial, _digest(repr(endpoints).encode())
        return {
            **self._fixed_versions,
            "list": Version(0, self._list_digest),
            "plan": Version(plan.number, self._plan_digest + " alone" * is_isolated),
        }
