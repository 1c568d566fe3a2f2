"""An HTTP/1.1 ingress with per-customer quotas, load balancing and retries."""
