"""Jobs of several steps: accepted into a journal, placed on workers by one placer."""
