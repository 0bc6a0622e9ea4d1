"""Faults put between relays on purpose: in virtual time, and between processes of the program."""
