"""Scenarios, simulated clusters and oracles that the steps run."""
