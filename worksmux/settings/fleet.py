"""The section `fleet` of a front's settings: the other fronts, and what all decide in common.

fleet "home" {
    listen "127.0.0.1:7001"                  // for the other fronts
    address "127.0.0.1:7001"                 // what they are told; `listen` if absent
    seeds "127.0.0.1:7002" "127.0.0.1:7003"  // whom to ask first
    founders "front-1" "front-2" "front-3"   // who form the council, once, when all are there
    seats 3
    disk "/var/lib/worksmux/gateway-1"
    lease "4s"
    carries "north" 65                       // jobs a second that a zone carries warm; learned if absent
    reach "front-2" "127.0.0.1:9002"         // another way to a front than the address it tells
}
"""

from __future__ import annotations

from dataclasses import dataclass

from . import units
from .document import Section

Address = tuple[str, int]
SEATS = (1, 3, 5)


@dataclass(frozen=True)
class FleetSettings:
    """Times in milliseconds."""

    name: str
    listen: Address
    address: str  # host:port; empty: as it listens
    seeds: tuple[str, ...]
    founders: tuple[str, ...]
    voter_count: int
    disk: str
    probe_interval_ms: float  # between two probes of other fronts
    heartbeat_ms: float  # of the council's leader
    election_timeout_ms: float  # without a leader, until a seat stands
    lease_ms: float  # of what was decided in common
    planning_interval_ms: float  # between two looks of the planner
    removal_delay_ms: float  # a front away for so long loses its seat
    max_body_bytes: int  # bytes of a message
    zone_capacity: dict[str, float]
    address_overrides: dict[str, str]


def _pairs(node: Section, key: str, wanted: str) -> list[tuple[str, object, Section]]:
    found = []
    for one in node.all(key):
        if len(one.args) != 2 or not isinstance(one.args[0], str) or one.props or one.nodes:
            one.complain(f"{key}: expected {wanted}")
        else:
            found.append((one.args[0], one.args[1], one))
    return found


def _address(raw: object, key: str, node: Section) -> str:
    try:
        host, port = units.address(raw)
        return f"{host}:{port}"
    except ValueError as error:
        node.complain(f"{key}: {error}, not {raw!r}")
        return ""


def read_fleet(root: Section, zones: list[str]) -> FleetSettings | None:
    node = root.optional("fleet")
    if node is None:
        return None
    seeds = (
        tuple(_address(one, "seeds", node) for one in node.texts("seeds")) if node.optional("seeds") else ()
    )
    told = node.address("address", ("", 0))
    zone_capacity = {}
    for zone, value, one in _pairs(node, "carries", 'a zone and jobs a second, such as carries "north" 65'):
        if zone not in zones:
            one.complain(f'carries: zone "{zone}" is not among the zones {", ".join(zones)}')
        elif isinstance(value, bool) or not isinstance(value, (int, float)) or value <= 0:
            one.complain(f"carries: expected jobs a second above 0, not {value!r}")
        else:
            zone_capacity[zone] = float(value)
    address_overrides = {
        name: _address(value, "reach", one)
        for name, value, one in _pairs(
            node, "reach", 'a front and an address, such as reach "front-2" "127.0.0.1:9002"'
        )
    }
    found = FleetSettings(
        node.title(),
        node.address("listen"),
        f"{told[0]}:{told[1]}" if told[0] else "",
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
    if found.voter_count not in SEATS:
        node.complain(f"seats: expected 1, 3 or 5, not {found.voter_count}")
    if found.election_timeout_ms < 3 * found.heartbeat_ms:
        node.complain("patience is under three beats; one lost message would end a leader's reign")
    if found.lease_ms < 2 * found.election_timeout_ms:
        node.complain("lease is under twice patience; each change of leader would leave the fronts alone")
    if found.lease_ms < 8 * found.planning_interval_ms:
        node.complain("lease is under eight looks; a plan could be older than what it was made for")
    node.end()
    return found
