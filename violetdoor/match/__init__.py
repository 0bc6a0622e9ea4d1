"""Match expressions: typed rules of bounded cost that say what a request is; no input or output, no wire."""
