"""Mutants of what bounds the work that one record of a pipeline causes, and of the values that it leads to."""

TESTS = ["tests/test_long_pipelines.py"]
URGENCY = "ashtray/jobs/pipeline_urgency.py"

MUTANTS: dict[str, tuple[str, str, str]] = {
    "dependencies-visited-before-their-dependents": (
        URGENCY,
        "heappush(self._heap, (-self._levels.get(job_id, 0), job_id))",
        "heappush(self._heap, (self._levels.get(job_id, 0), job_id))",
    ),
    "records-in-any-order-not-sorted": (
        "ashtray/placement/cluster_state.py",
        "        self.dependencies.update_urgency()\n",
        "",
    ),
    "unknown-final-states-not-looked-for": (
        "ashtray/jobs/dependencies.py",
        "if dependency is None and need in self._unknown:",
        "if False:",
    ),
    "settled-before-its-dependencies": (
        "ashtray/jobs/dependencies.py",
        "                    path.append((dependency,",
        "                    self._settled.add(need)\n                    path.append((dependency,",
    ),
    "urgency-never-falls": (
        URGENCY,
        "            self._lower_dependencies(job)\n",
        "            pass\n",
    ),
}
