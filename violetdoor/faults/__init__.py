"""Fault injection: in virtual time, and between real processes of the program."""
