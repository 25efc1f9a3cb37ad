"""Scripted days: what is played, on sockets by the trial and in simulated time by the model."""
