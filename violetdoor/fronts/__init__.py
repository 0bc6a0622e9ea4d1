"""The protocols that clients and gate servers speak, one package each."""
