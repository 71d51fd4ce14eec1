"""Workers: their reports, ownership tokens and orders, and writing what they report into group records."""
