"""Admission control of one app server: which requests it accepts, runs, delays and rejects."""
