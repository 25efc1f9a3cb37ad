"""What a fleet of fronts says to itself as it grows, in simulated time: `python -m benchmarks.fleet_growth`.

For each number of fronts: messages and bytes a front a second of membership and of following, the time until
all know of a death and of new plan, and false deaths, at 0, 5 and 20% loss.  The number of engines enters by
the zones that a report names: 12 to 1,000 engines lie in 2 to 9 zones.
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

PERIOD = 500.0


def peers(task: tuple[int, float]) -> str:
    count, loss = task
    world = GossipSimulation(1, PERIOD, NetworkConditions(loss=loss))
    for at in range(count):
        world.start(f"f{at}")
        if at % 20 == 19:
            world.run(20.0)
    joined = world.wait_for_agreement(400 * PERIOD)
    world.changes.clear()
    world.network.sent.clear()
    world.network.counts_bytes = True
    world.run(10 * PERIOD)
    seconds = 10 * PERIOD / 1000
    messages = sum(world.network.sent.values()) / count / seconds
    size = sum(world.network.bytes.values()) / count / seconds
    world.network.counts_bytes = False
    world.peers["f1"].stop()
    found = world.wait_for_agreement(200 * PERIOD)
    false = {fact.after.name for _, _, fact in world.changes if fact.after.state == MemberState.DEAD} - {"f1"}
    return (
        f"peers {count:5} fronts, loss {loss:4.0%}: {messages:5.1f} messages and {size:6.0f} bytes a "
        f"front a second; all joined {joined / 1000:.1f} s after the last; a death known by all after "
        f"{found / 1000:.1f} s; false deaths {len(false)}"
    )


def follow(task: tuple[int, int]) -> str:
    count, zones = task
    fleet = ReplicationSimulation(count)
    seen = ZoneReport(1, 0, 0, 1, 3.0, 3.0, 0.0, 1.25, 1.5, 0.3, 0.0)
    own = FleetReport(
        1, {f"zone-{at}": seen for at in range(zones)}, {"hint": 1.0, "explain": 0.6, "mark": 0.4}
    )
    for one in fleet.replicas.values():
        one.build_report = lambda below: msgspec.msgpack.encode(
            sum_reports([own, *(msgspec.msgpack.decode(data, type=FleetReport) for data in below)])
        )
    fleet.run(2 * LEASE_MS)
    fleet.sent, fleet.network.counts_bytes = 0, True
    fleet.network.sent.clear()
    fleet.run(LEASE_MS)
    size = sum(fleet.network.bytes.values()) / count / (LEASE_MS / 1000)
    most = max(fleet.network.sent.values()) / (LEASE_MS / 1000)
    rate = fleet.sent / count / (LEASE_MS / 1000)
    start = fleet.sim.now
    fleet.put(b"x" * 2000)
    fleet.run(2000.0)
    told = sorted(
        at - start for at, _, fact in fleet.events if isinstance(fact, ValuesChanged) and at >= start
    )
    leader = fleet.replicas["f0"]
    heard = msgspec.msgpack.decode(leader.build_report(leader.child_reports()), type=FleetReport)
    return (
        f"following {count:5} fronts, {zones} zones: {rate:.1f} messages and {size:.0f} bytes a front a "
        f"second, {most:.0f} at the busiest; a plan of 2 kB is with half after "
        f"{told[len(told) // 2]:.0f} ms, with all {len(told)} after {told[-1]:.0f} ms; the leader hears "
        f"of {heard.nodes}"
    )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--peers", default="10,100,400")
    parser.add_argument("--follow", default="10,100,500,2000")
    parser.add_argument("--procs", type=int, default=4)
    args = parser.parse_args()
    with ProcessPoolExecutor(args.procs) as pool:
        requests = [
            pool.submit(follow, (int(count), zones)) for count in args.follow.split(",") for zones in (2, 9)
        ]
        requests += [
            pool.submit(peers, (int(count), loss))
            for count in args.peers.split(",")
            for loss in (0.0, 0.05, 0.2)
        ]
        for request in requests:
            print(request.result(), flush=True)


if __name__ == "__main__":
    main()
