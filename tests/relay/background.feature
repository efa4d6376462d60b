Feature: A fault in a task of one request or connection does not end the instance
  Guards against a process whose other requests are lost because one of its tasks has failed.

  Scenario Outline: An instance goes on serving when a task of its own fails
    Given a service with 2 searchers of which one resets after it ran a request
    When <task> raises an unexpected error while a client asks 10 times
    Then it gets status 200 each time
    And the metrics of the instance count failures of "<task>"

    Examples:
      | task                     |
      | Searcher.preconnect      |
      | Quarantine.record_broken |

  Scenario: Entries of instances that name no address stop no other instance
    Given 6 instances in 2 domains with readers, and 4 searchers
    When odd entries appear among the instances, and then the configuration and a searcher change
    Then each instance that serves knows both changes within 2.5 s
    And no instance has taken one of these entries for another instance
