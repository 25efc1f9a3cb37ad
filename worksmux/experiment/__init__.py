"""Experiments on the simulated fleet: sweeps over scenarios, run in parallel, resumed, compared."""
