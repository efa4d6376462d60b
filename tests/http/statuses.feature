Feature: A response with an invalid status is malformed wherever it comes in
  Guards against a response with an invalid status that is passed on to a caller, that lets a request
  wait until its deadline, or that ends a task with an error of another kind.

  Scenario Outline: No reader accepts <status>
    When each reader of responses gets <status>
    Then it fails in each with a malformed response, and each connection is closed

    Examples:
      | status                             |
      | status 000                         |
      | status 001                         |
      | status 099                         |
      | status 600                         |
      | status 999                         |
      | status 2                           |
      | status 20                          |
      | status 2000                        |
      | status 65736                       |
      | status +200                        |
      | status -20                         |
      | status abc                         |
      | status 20x                         |
      | a status in full-width digits      |
      | a status line that ends early      |
      | a status line with only a reason   |
      | 100 that is final                  |
      | 199 that is final                  |
      | 100 without a request for it       |
      | 101 without an upgrade             |
      | 101 with an upgrade                |
      | 103 with a body                    |
      | 103 without end                    |
      | 103 and then status 000            |

  Scenario Outline: Each reader accepts <status>
    When each reader of responses gets <status>
    Then each accepts it with status <final>

    Examples:
      | status                             | final |
      | status 200                         | 200   |
      | status 299                         | 299   |
      | a status line without a reason     | 200   |
      | 103 before the final response      | 200   |

  Scenario Outline: Requests to a searcher that answers with <status>
    Given searchers that answer with <status>, alone and beside good ones
    When clients send single requests, non-idempotent ones and gathered ones
    Then requests that may be repeated are answered by the good searchers
    And the others get status 502 at once, and each instance asks a searcher at most once
    And each failure counts against its searcher, and its connection is closed

    Examples:
      | status                             |
      | status 000                         |
      | status 099                         |
      | status 600                         |
      | status 2000                        |
      | status +200                        |
      | a status line that ends early      |
      | 199 that is final                  |
      | 100 without a request for it       |
      | 101 without an upgrade             |
      | 101 with an upgrade                |
      | 103 without end                    |
