"""Testbed: real processes of the program on loopback among stand-ins, with fault injection."""
