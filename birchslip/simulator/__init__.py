"""App servers on the simulator's wire: `python -m birchslip.simulator`."""
