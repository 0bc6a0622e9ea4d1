"""The front end for the platform's line protocol."""
