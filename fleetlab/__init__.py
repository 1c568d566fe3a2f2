"""The lab: measures synthetic and real ingresses, fits slopes, and runs the soak."""
