"""Expectations of routing: stated beside the configuration and checked without real traffic."""
