Feature: Deployments for tests
  Guards against tests that run with a table or catalog that does not match the emulated servers.

  Scenario Outline: The deployments have the sizes of the design page
    Then <deployment> has <searchers> searchers of <service> with <slots> slots and <shards> shards

    Examples:
      | deployment | service          | searchers | slots | shards |
      | norte      | logging          | 40        | 2     | 20     |
      | norte      | member-billing   | 60        | 2     | 30     |
      | norte      | shelf-locator    | 6         | 2     | 3      |
      | norte      | sample-booking   | 3         | 2     | 3      |
      | nl-midden  | register-search  | 40        | 2     | 20     |
      | nl-midden  | volunteer-portal | 60        | 2     | 30     |
      | nl-midden  | child-care-card  | 3         | 6     | 3      |
      | nl-midden  | subsidy-export   | 3         | 6     | 3      |

  Scenario: Documents and servers match at any scale
    Then replicas, holdings, rows and documents agree at random scales

  Scenario: A repartitioned snapshot is held by the searchers that its catalog names
    When logging is repartitioned into 7 shards
    Then the holdings of the new snapshot are those of its catalog

  Scenario: The merged answer does not depend on the replicas
    Then merging shard answers gives the expected answer for random queries
