"""The front ends of the relay: one package per protocol that clients and gate servers speak."""
