Feature: A query is pinned to one snapshot
  Guards against a snapshot that some shard cannot serve although an older one is complete.

  Scenario: The newest complete snapshot, else the one that most shards have
    When snapshots are chosen from random catalogs and refusals
    Then each choice is the newest complete snapshot or the one that most shards have

  Scenario: A refusal expires, so that a snapshot that was loaded meanwhile is used again
    When a searcher lacks the newest snapshot and time passes
    Then the newest snapshot is chosen again after 5 s and not before
