"""App servers that speak the simulator's wire protocol: `python -m birchslip.simulator`."""
