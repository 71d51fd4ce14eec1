"""The other controllers: presence, steering and handing on."""
