Feature: A workspace's quota holds for all instances together
  Guards against more requests of a workspace than its quota, through instances that are killed or
  cut off, against a 429 for a request that has run, and against refusals within the quota.

  Scenario: Requests within the quota are all served, also while the store refuses all instances
    Given 3 instances with a workspace of 10 requests/s and a burst of 10
    When 8 requests/s come for 12 s while the store refuses all instances
    Then all of them are answered

  Scenario Outline: Requests beyond the quota get 429 and have not run
    Given 3 instances with a workspace of 10 requests/s and a burst of 10
    When 50 requests/s come for 12 s while <trouble>
    Then no 5 s have more than 86 requests that ran, and 12 s have at least <least>
    And each other request got 429 with a Retry-After and has not run, or met a killed instance

    Examples:
      | trouble                              | least |
      | nothing happens                      | 125   |
      | the owner is killed                  | 80    |
      | the owner restarts                   | 95    |
      | one instance is cut off              | 80    |

  Scenario: A request to many shards counts once
    Given 3 instances with a workspace of 10 requests/s and a burst of 10
    When 8 gathered requests/s come for 5 s while nothing happens
    Then all of them are answered

  Scenario: A request that reached no searcher does not count
    Given 3 instances with a workspace of 10 requests/s and a burst of 10
    When 40 requests to a service without searchers and then 8 others come at once
    Then the first ones get 503 and the others 200
