@alone
Feature: Slow searchers and domains with wrong load reports
  Guards against work that stays with slow replicas because they report low load, hedges of
  non-idempotent work or beyond the budget, and slower hedged copies that keep their slots. The
  searchers' records show which sub-requests ran and how they ended.

  Scenario: A slow searcher reports that it is idle
    Given a warm fleet for stragglers with services "register-search"
    When searcher "register-search-01/0" takes 4 times as long and reports no load
    And a load of different queries runs
    Then each straggler got at most 25% of the work of its shards
    And the extra sub-requests stayed within 2% and the bursts of the instances
    And some straggling sub-requests were hedged, and the slower copies were cancelled
    And each query got a correct and complete answer and no limit was exceeded

  Scenario: A slow failure domain with lagging reports
    Given a warm fleet for stragglers with services "register-search"
    When failure domain "domain-1" takes 4 times as long and reports its load of 5 s ago
    And a load of different queries runs
    Then each straggler got at most 25% of the work of its shards
    And the extra sub-requests stayed within 2% and the bursts of the instances
    And each query got a correct and complete answer and no limit was exceeded

  Scenario: Non-idempotent requests at a slow searcher
    Given a warm fleet for stragglers with services "child-care-card"
    When searcher "child-care-card-01/0" takes 4 times as long and reports no load
    And reservations run until the slow searcher ran 5 reservations
    Then each reservation reached one searcher at most once and its outcome is correct
