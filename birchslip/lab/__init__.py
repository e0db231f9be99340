"""Rehearsals: real processes of the program on loopback, among stand-ins, with faults between them."""
