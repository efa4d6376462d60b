Feature: A query is pinned to one snapshot
  Guards against a snapshot that some shard cannot serve although an older one is whole.

  Scenario: The newest whole snapshot, else the one that most shards hold
    When snapshots are chosen from random catalogs and refusals
    Then each choice is the newest whole snapshot or the one most shards hold

  Scenario: A refusal is forgotten, so that a loaded snapshot is used again
    When a searcher lacks the newest snapshot and time passes
    Then the newest snapshot is chosen again after 5 s and not before
