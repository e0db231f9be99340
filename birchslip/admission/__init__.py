"""Admission control of one app server: what it accepts, runs, delays and rejects."""
