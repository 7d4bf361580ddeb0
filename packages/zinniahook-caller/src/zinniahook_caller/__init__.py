"""HTTP/3 caller library that retries safely."""
