"""The lab: measures synthetic and real ingresses with stand-in servers, and fits slopes."""
