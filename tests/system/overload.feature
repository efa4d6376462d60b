@alone
Feature: Load above the capacity of the searchers
  Guards against a collapse of goodput, retry storms, refusals of work that ran, a service that
  stays slow afterwards, and a tenant that takes the share of the others. Answers are compared with
  the records of the searchers.

  Scenario: Twice the capacity for a while
    Given a small fleet whose capacity is 20 queries a second
    When it gets 6 s of 10, 8 s of 40, 2 s of 10 and 4 s of 10 queries a second
    Then in the overload the searchers spent at least 90% of their capacity on answered queries
    And the searchers got at most 1.02 sub-requests for each shard of a query that they worked on
    And no sub-request was hedged while the service was overloaded
    And each answer was correct, each refusal came before any part ran, and no limit was exceeded
    And in the last phase each query got a complete answer

  Scenario: One tenant sends ten times its share
    Given a small fleet whose capacity is 20 queries a second
    When the other tenants send 6 queries a second and "tenant-1" sends 40 for 8 s
    Then at least 95% of the other tenants' queries got a complete answer
    And each answer was correct, each refusal came before any part ran, and no limit was exceeded
