"""Sessions at one control machine: admission, silence, leases, and what is sent to whom."""
