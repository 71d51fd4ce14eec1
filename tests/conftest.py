from hypothesis import settings

settings.register_profile("steady", derandomize=True, deadline=None, database=None)
settings.load_profile("steady")
