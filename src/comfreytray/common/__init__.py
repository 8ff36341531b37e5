"""Parts that every package may use: errors, interfaces, logs, metrics, records."""
