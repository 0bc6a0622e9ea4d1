"""The front end for the NATS client protocol."""
