"""The memory of a real ingress beside hostile clients and backends."""
