"""Settings: the platform's TOML file and the operators' own S-expressions."""
