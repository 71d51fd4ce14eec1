"""Stand-ins of the second review, written from the protocol page: state service, cloud, machines and users."""
