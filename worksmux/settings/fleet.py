"""The section `fleet` of a gateway's settings: the other gateways, gossip and consensus.

fleet "home" {
    listen "127.0.0.1:7001"                  // for the other gateways
    address "127.0.0.1:7001"                 // the address that gossip announces; `listen` if absent
    seeds "127.0.0.1:7002" "127.0.0.1:7003"  // contacted first to join the fleet
    founders "front-1" "front-2" "front-3"   // the first voters; consensus starts once, when all are present
    seats 3                                  // number of voters
    disk "/var/lib/worksmux/gateway-1"
    lease "4s"
    carries "north" 65                       // requests a second that a warm zone serves; learned if absent
    reach "front-2" "127.0.0.1:9002"         // replaces the address that this gateway announces
}
"""

from __future__ import annotations

from dataclasses import dataclass

from . import units
from .document import Section

Address = tuple[str, int]
VOTER_COUNTS = (1, 3, 5)


@dataclass(frozen=True)
class FleetSettings:
    """Settings of gossip, consensus and failover planning among the gateways."""

    name: str
    listen: Address
    address: str  # host:port that gossip announces; empty: the address it listens on
    seeds: tuple[str, ...]
    founders: tuple[str, ...]
    voter_count: int
    disk: str
    probe_interval_ms: float  # between two gossip probes
    heartbeat_ms: float  # between two heartbeats of the leader
    election_timeout_ms: float  # without a leader, before a voter starts an election
    lease_ms: float  # greatest age of replicated state before the gateway counts as isolated
    planning_interval_ms: float  # between two runs of the failover planner
    removal_delay_ms: float  # a gateway absent for this long is no longer a voter
    max_body_bytes: int  # of one message
    zone_capacity: dict[str, float]  # requests a second, by zone
    address_overrides: dict[str, str]  # by the gateway's name


def _pairs(node: Section, key: str, expected: str) -> list[tuple[str, object, Section]]:
    pairs = []
    for child in node.all(key):
        if len(child.args) != 2 or not isinstance(child.args[0], str) or child.props or child.nodes:
            child.complain(f"{key}: expected {expected}")
        else:
            pairs.append((child.args[0], child.args[1], child))
    return pairs


def _address(raw: object, key: str, node: Section) -> str:
    try:
        host, port = units.address(raw)
        return f"{host}:{port}"
    except ValueError as error:
        node.complain(f"{key}: {error}, not {raw!r}")
        return ""


def read_fleet(root: Section, zones: list[str]) -> FleetSettings | None:
    """Reads the section `fleet`; None if the file has none."""
    node = root.optional("fleet")
    if node is None:
        return None
    seeds = (
        tuple(_address(seed, "seeds", node) for seed in node.texts("seeds")) if node.optional("seeds") else ()
    )
    announced = node.address("address", ("", 0))
    zone_capacity = {}
    for zone, value, child in _pairs(
        node, "carries", 'a zone and requests a second, such as carries "north" 65'
    ):
        if zone not in zones:
            child.complain(f'carries: zone "{zone}" is not among the zones {", ".join(zones)}')
        elif isinstance(value, bool) or not isinstance(value, (int, float)) or value <= 0:
            child.complain(f"carries: expected requests a second above 0, not {value!r}")
        else:
            zone_capacity[zone] = float(value)
    address_overrides = {
        name: _address(value, "reach", child)
        for name, value, child in _pairs(
            node, "reach", 'a gateway and an address, such as reach "front-2" "127.0.0.1:9002"'
        )
    }
    settings = FleetSettings(
        node.title(),
        node.address("listen"),
        f"{announced[0]}:{announced[1]}" if announced[0] else "",
        seeds,
        tuple(node.texts("founders")),
        node.integer("seats", 3, min_value=1, max_value=5),
        node.text("disk"),
        node.duration_ms("period", 500.0, min_value=10),
        node.duration_ms("beat", 150.0, min_value=5),
        node.duration_ms("patience", 1000.0, min_value=20),
        node.duration_ms("lease", 4000.0, min_value=100),
        node.duration_ms("look", 250.0, min_value=20),
        node.duration_ms("gone", 60_000.0, min_value=100),
        node.size("body", 2**20),
        zone_capacity,
        address_overrides,
    )
    if settings.voter_count not in VOTER_COUNTS:
        node.complain(f"seats: expected 1, 3 or 5, not {settings.voter_count}")
    if settings.election_timeout_ms < 3 * settings.heartbeat_ms:
        node.complain("patience is under three beats; one lost message could start an election")
    if settings.lease_ms < 2 * settings.election_timeout_ms:
        node.complain("lease is under twice patience; each change of leader would isolate the gateways")
    if settings.lease_ms < 8 * settings.planning_interval_ms:
        node.complain("lease is under eight looks; a plan could be older than the state it was made for")
    node.end()
    return settings
