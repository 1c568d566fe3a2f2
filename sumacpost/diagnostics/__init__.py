"""Diagnostic events of single requests and connections, and the log stream for operators."""
