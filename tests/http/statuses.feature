Feature: A response with an invalid status is malformed wherever it comes in
  Guards against a response with an invalid status that is passed on to a caller, that lets a request
  wait until its deadline, or that ends a task with an error of another kind.

  Scenario Outline: <status> is a malformed response
    Given searchers that answer with <status>, alone and beside good ones
    When each reader gets <status>, and clients send single and gathered requests
    Then it fails in each reader as malformed, and each connection is closed
    And requests that may be repeated are answered by the good searchers
    And the others get status 502 at once, and each instance asks a searcher at most once
    And each failure counts against its searcher

    Examples:
      | status                        |
      | status 000                    |
      | status 099                    |
      | status 600                    |
      | status 20                     |
      | status 2000                   |
      | status +200                   |
      | status 20x                    |
      | a line without a status       |
      | 199 that is final             |
      | 100 that was not asked for    |
      | 101 without an upgrade        |
      | 101 with an upgrade           |
      | 103 with a body               |
      | 103 without end               |

  Scenario Outline: <status> is accepted
    Then each reader accepts <status>

    Examples:
      | status                        |
      | status 200                    |
      | 200 without a reason          |
      | 103 before the final response |
