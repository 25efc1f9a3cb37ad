"""The versions that a gateway acts on: of its program, settings, tokenizers, endpoint list and plan."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import xxhash

from ..config_audit.audit_log import Version
from ..endpoints.list_reader import EndpointListReader
from ..failover.plan import Plan, encode
from ..settings.front import FrontSettings

NO_SERIAL = -1


def _digest(data: bytes) -> str:
    return f"{xxhash.xxh3_64_intdigest(data):016x}"


class ActiveVersions:
    """Digests what stays the same while the process runs once, and the plan and the list as they change."""

    def __init__(self, settings: FrontSettings) -> None:
        self._fixed = {
            "program": Version(0, self._digest_of_program()),
            "settings": Version(0, self._digest_of_settings(settings)),
        }
        for name, path_of in sorted(settings.tokenizers.items()):
            self._fixed[f"tokenizer {name}"] = Version(0, _digest(Path(path_of).read_bytes()))
        self._plan: Plan | None = None
        self._plan_digest = ""
        self._list_serial, self._list_digest = NO_SERIAL, ""

    @staticmethod
    def _digest_of_program() -> str:
        program = xxhash.xxh3_64()
        for path in sorted(Path(__file__).resolve().parent.parent.rglob("*.py")):
            program.update(path.read_bytes())
        return program.hexdigest()

    @staticmethod
    def _digest_of_settings(settings: FrontSettings) -> str:
        """Of the settings that all gateways share, so that gateways can be compared."""
        module = replace(settings.module, node_index=0, zone=0)  # which differ between gateways
        shared = repr(
            (
                settings.zones,
                settings.request_classes,
                settings.kinds,
                settings.transport,
                settings.lanes,
                settings.admission,
                sorted(settings.regions.items()),
                module,
            )
        )
        return _digest(shared.encode())

    def versions(self, plan: Plan, alone: bool, keeper: EndpointListReader) -> dict[str, Version]:
        """`alone`: the gateway has lost the others, and acts on its last plan by itself."""
        if plan is not self._plan:
            self._plan, self._plan_digest = plan, _digest(encode(plan))
        if keeper.serial != self._list_serial:
            # By content: a registry that starts its serials anew sends the same list under another one.
            lines = sorted((one.line.id, one.line.state, one.line.started) for one in keeper.known.values())
            self._list_serial, self._list_digest = keeper.serial, _digest(repr(lines).encode())
        return {
            **self._fixed,
            "list": Version(0, self._list_digest),
            "plan": Version(plan.number, self._plan_digest + " alone" * alone),
        }
