Feature: Planned handover of backend servers without refused work
  Guards against missing answers while a backend server is handed over, and against work that the
  new owner sends before that of the former owner has ended.

  Scenario: Work waits at the new owner until the handover has ended
    Given a new owner with a handover that ends after 0.3 s
    When shards "a b c" are asked for during the handover within 1 s
    Then 3 of them are answered, and nothing was sent before the handover ended

  Scenario: Work does not wait longer than its deadline
    Given a new owner with a handover that ends after 0.3 s
    When shards "a b c" are asked for during the handover within 0.1 s
    Then 0 of them are answered, and nothing was sent before the handover ended

  Scenario: Work does not wait for a former owner that does not answer
    Given a new owner whose former owner is silent
    When shards "a b c" are asked for during the handover within 1 s
    Then they are refused at once as no_owner

  Scenario: An entry instance with an old view finds the new owner
    When a query meets owners that have all just handed their servers over
    Then its answer misses nothing and each server got each shard at most once

  Scenario: An entry instance stops rerouting when it gets no new view
    When a query meets owners that refuse all work as no_owner
    Then each replica was asked a bounded number of times and the query fails as not run
