"""Match rules: a typed rule language of bounded cost that classifies requests; performs no I/O."""
