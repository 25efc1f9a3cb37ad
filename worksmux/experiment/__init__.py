"""Experiments on the model of the fleet: sweeps over days, run in parallel, resumed, compared."""
