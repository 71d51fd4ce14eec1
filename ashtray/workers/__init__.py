"""Workers: reports, ownership tokens, orders and folding of freed room."""
