"""What the ingress tells its operators about single requests and connections."""
