"""Scenarios: scripted runs, played on sockets by the fault trial and in simulated time by the simulation."""
