"""Randomized fault injection: real node processes on a simulated clock and network, checked at the engines.

`schedule` defines the events of one run as data, `draw` generates schedules from seeds, `world` plays them,
and `ledger` checks the rules.  The verdict uses no data from the program under test.
`python -m fault_injection --help` (with `tests` on the path) plays new seeds, replays one, and shrinks a
failing schedule.
"""
