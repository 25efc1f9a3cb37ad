"""The versions that a front acts on: of its program, settings, tokenizers, list of engines and plan."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import xxhash

from ..config_audit.audit_log import Version
from ..endpoints.list_reader import EndpointListReader
from ..failover.plan import Plan, encode
from ..settings.front import FrontSettings


def _mark(data: bytes) -> str:
    return f"{xxhash.xxh3_64_intdigest(data):016x}"


class Holding:
    """What holds as long as the process runs is marked once; plan and list as they change."""

    def __init__(self, settings: FrontSettings) -> None:
        program = xxhash.xxh3_64()
        for path in sorted(Path(__file__).resolve().parent.parent.rglob("*.py")):
            program.update(path.read_bytes())
        module = replace(settings.module, node_index=0, zone=0)
        # Of the settings what all fronts share, so that fronts can be compared.
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
        self.standing = {
            "program": Version(0, program.hexdigest()),
            "settings": Version(0, _mark(shared.encode())),
        }
        for name, path_of in sorted(settings.tokenizers.items()):
            self.standing[f"tokenizer {name}"] = Version(0, _mark(Path(path_of).read_bytes()))
        self.plan: tuple[Plan | None, str] = None, ""
        self.list = -1, ""

    def versions(self, plan: Plan, alone: bool, keeper: EndpointListReader) -> dict[str, Version]:
        if plan is not self.plan[0]:
            self.plan = plan, _mark(encode(plan))
        if keeper.serial != self.list[0]:
            # By content: a registry that starts its numbers anew tells the same list under another number.
            lines = sorted((one.line.id, one.line.state, one.line.started) for one in keeper.known.values())
            self.list = keeper.serial, _mark(repr(lines).encode())
        return {
            **self.standing,
            "list": Version(0, self.list[1]),
            "plan": Version(plan.number, self.plan[1] + " alone" * alone),
        }
