"""The digest of settings in audit logs is that of earlier versions: nodes of two versions can be compared."""

from __future__ import annotations

from pathlib import Path

import pytest

from worksmux.fault_trial.small import SETTINGS
from worksmux.gateway.active_versions import ActiveVersions
from worksmux.settings.document import parse
from worksmux.settings.front import read_gateway_settings

EXAMPLE = Path(__file__).parent.parent / "benchmarks" / "front.kdl"
SINGLE_STAGE = """
kind "embedder" role="both" memory=1000000 call="embeddings"
offering "vectors" {
    call "embeddings"
    promised-time "1s"
    outer-limit "3s"
    effect "redoable"
    most-prompt 8000
}
admission {
    load-tokens 8000
    load-inputs 64
    line-tokens 400000
    line-calls 5000
    open-calls 3000
}
"""


@pytest.mark.parametrize(
    ("text", "digest"),
    [
        (SETTINGS, "92557e5796ccff8b"),
        (SETTINGS + SINGLE_STAGE, "1eecc3e81ac2533c"),
        (EXAMPLE.read_text(), "598a76e2366c7ab4"),
    ],
    ids=["chat", "chat and embeddings", "example"],
)
def test_digest_of_settings_is_that_of_earlier_versions(text: str, digest: str) -> None:
    """The digests were computed by commit fa39be6; they change if a field's name in repr() changes."""
    assert ActiveVersions._settings_digest(read_gateway_settings(parse(text))) == digest
