"""Where operators call: health, figures, maintenance."""
