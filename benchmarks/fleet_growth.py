"""Messages among the nodes of a growing fleet, in simulated time: `python -m benchmarks.fleet_growth`.

For each number of nodes: messages and bytes a node a second of gossip and of replication, the time until all
know of a death and of a new plan, and false deaths, at 0, 5 and 20% loss. The number of engines enters by the
zones that a report names: 12 to 1,000 engines are in 2 to 9 zones.
"""

from __future__ import annotations

import argparse
from concurrent.futures import ProcessPoolExecutor

import msgspec

from worksmux.consensus.replica import ValuesChanged
from worksmux.failover.reports import FleetReport, ZoneReport, sum_reports
from worksmux.gossip.members import MemberState
from worksmux.simulation.followers import LEASE_MS, ReplicationSimulation
from worksmux.simulation.peers import GossipSimulation
from worksmux.simulation.wire import NetworkConditions

PERIOD_MS = 500.0


def run_gossip(task: tuple[int, float]) -> str:
    """Returns a line of figures for a fleet that gossips."""
    count, loss = task
    simulation = GossipSimulation(1, PERIOD_MS, NetworkConditions(loss=loss))
    for index in range(count):
        simulation.start(f"f{index}")
        if index % 20 == 19:
            simulation.run(20.0)
    joined = simulation.wait_for_agreement(400 * PERIOD_MS)
    simulation.changes.clear()
    simulation.network.sent.clear()
    simulation.network.counts_bytes = True
    simulation.run(10 * PERIOD_MS)
    seconds = 10 * PERIOD_MS / 1000
    messages = sum(simulation.network.sent.values()) / count / seconds
    bytes_rate = sum(simulation.network.bytes.values()) / count / seconds
    simulation.network.counts_bytes = False
    simulation.peers["f1"].stop()
    detected = simulation.wait_for_agreement(200 * PERIOD_MS)
    false_deaths = {
        change.after.name for _, _, change in simulation.changes if change.after.state == MemberState.DEAD
    } - {"f1"}
    return (
        f"gossip {count:5} nodes, loss {loss:4.0%}: {messages:5.1f} messages and {bytes_rate:6.0f} bytes a "
        f"node a second; all joined {joined / 1000:.1f} s after the last; a death known by all after "
        f"{detected / 1000:.1f} s; false deaths {len(false_deaths)}"
    )


def run_replication(task: tuple[int, int]) -> str:
    """Returns a line of figures for a fleet that replicates values."""
    count, zones = task
    fleet = ReplicationSimulation(count)
    zone_report = ZoneReport(1, 0, 0, 1, 3.0, 3.0, 0.0, 1.25, 1.5, 0.3, 0.0)
    own_report = FleetReport(
        1,
        {f"zone-{index}": zone_report for index in range(zones)},
        {"hint": 1.0, "explain": 0.6, "mark": 0.4},
    )
    for replica in fleet.replicas.values():
        replica.build_report = lambda child_reports: msgspec.msgpack.encode(
            sum_reports(
                [own_report, *(msgspec.msgpack.decode(data, type=FleetReport) for data in child_reports)]
            )
        )
    fleet.run(2 * LEASE_MS)
    fleet.sent, fleet.network.counts_bytes = 0, True
    fleet.network.sent.clear()
    fleet.run(LEASE_MS)
    bytes_rate = sum(fleet.network.bytes.values()) / count / (LEASE_MS / 1000)
    max_rate = max(fleet.network.sent.values()) / (LEASE_MS / 1000)
    rate = fleet.sent / count / (LEASE_MS / 1000)
    start = fleet.sim.now
    fleet.put(b"x" * 2000)
    fleet.run(2000.0)
    delays = sorted(
        time - start for time, _, event in fleet.events if isinstance(event, ValuesChanged) and time >= start
    )
    leader = fleet.replicas["f0"]
    fleet_report = msgspec.msgpack.decode(leader.build_report(leader.child_reports()), type=FleetReport)
    return (
        f"replication {count:5} nodes, {zones} zones: {rate:.1f} messages and {bytes_rate:.0f} bytes a node "
        f"a second, {max_rate:.0f} at the busiest; a plan of 2 kB reaches half after "
        f"{delays[len(delays) // 2]:.0f} ms, all {len(delays)} after {delays[-1]:.0f} ms; the leader has "
        f"reports of {fleet_report.nodes}"
    )


def main() -> None:
    """Runs all sizes in parallel and prints a line for each."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--peers", default="10,100,400")
    parser.add_argument("--follow", default="10,100,500,2000")
    parser.add_argument("--procs", type=int, default=4)
    args = parser.parse_args()
    with ProcessPoolExecutor(args.procs) as pool:
        futures = [
            pool.submit(run_replication, (int(count), zones))
            for count in args.follow.split(",")
            for zones in (2, 9)
        ]
        futures += [
            pool.submit(run_gossip, (int(count), loss))
            for count in args.peers.split(",")
            for loss in (0.0, 0.05, 0.2)
        ]
        for future in futures:
            print(future.result(), flush=True)


if __name__ == "__main__":
    main()
