"""Randomized fault injection: real node processes on a simulated clock and network, judged at the engines.

`schedule` says what happens in one run, `draw` makes schedules from seeds, `world` plays them, and `ledger`
judges.  Nothing in the verdict is taken from the program under test.  `python -m fault_injection --help`
(with `tests` on the path) runs new seeds, replays one, and shrinks a failing schedule.
"""
