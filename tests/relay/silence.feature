Feature: Kept connections that have gone silent for good are replaced
  Guards against requests that fail until a process restarts, because an open connection delivers
  nothing any more and is never closed, while new connections to the same place work.

  Scenario Outline: Requests are gathered over a new link soon after the link went silent
    Given 20 shards with searchers in domain b, an instance in a and one in b
    And all connections go through proxies
    When the links between instances go silent <direction> and a client gathers each 100 ms for 6 s
    Then each response comes within 400 ms, and within the target of 118 ms in the last 4 s
    And in the last 4 s the instance in a sent no request to a searcher

    Examples:
      | direction |
      | to_target |
      | to_client |
      | both      |

  Scenario: A request that meets a silent link is answered although no hedge is allowed
    Given 20 shards with searchers in domain b, an instance in a and one in b
    And all connections go through proxies
    And a budget of 4 extra requests for each service, whatever the first ones
    When the links between instances go silent both and a client gathers each 2000 ms for 1 s
    Then each response misses 0 and comes within 600 ms

  Scenario: A link that goes silent between two messages of a gather does not cost the request
    Given 20 shards with searchers in domain b, an instance in a and one in b
    And all connections go through proxies
    And the searchers of 10 shards take 60 ms
    When the links between instances go silent 45 ms after a client began to gather
    Then each response misses 0 and comes within 600 ms

  Scenario: An instance that is busy keeps its link
    Given 20 shards with searchers in domain b, an instance in a and one in b
    And all connections go through proxies
    And all searchers hang
    When a client gathers at the instance in a and gives up after 900 ms
    Then there has been one link from the instance in a

  Scenario Outline: A searcher that <leaves> is left alone in time although <what> went silent
    Given <count> instances in 2 domains with readers, and 4 searchers
    And all connections go through proxies
    And searchers that leave serve for <drain> s more
    When <what> go silent and then a searcher <leaves>
    Then no instance uses that searcher <drain> s later

    Examples:
      | count | what                                   | leaves            | drain |
      | 3     | the connections to the store           | says that it does | 3     |
      | 3     | the connections to the store           | loses its entry   | 3     |
      | 6     | the connections to the store           | says that it does | 3     |
      | 6     | the connections to the store           | loses its entry   | 3     |
      | 6     | the links between instances            | says that it does | 3     |
      | 6     | the links between instances            | loses its entry   | 3     |
      | 6     | the connections of a reader            | says that it does | 3     |
      | 6     | the connections of a reader            | loses its entry   | 3     |
      | 6     | the links and those to the store       | says that it does | 3     |
      | 6     | the links and those to the store       | loses its entry   | 3     |
      | 6     | the links and those to the store       | says that it does | 5     |

  Scenario Outline: Requests are answered although the connections to all searchers went silent
    Given a service with 2 good searchers
    And all connections go through proxies
    When the connections to searchers go silent <direction> and a client asks each 100 ms for 4 s
    Then each response comes within 1000 ms, and within the target of 100 ms in the last 2 s

    Examples:
      | direction |
      | to_target |
      | to_client |
      | both      |

  Scenario: A gather is answered although the connections to all searchers went silent
    Given 20 shards with 2 searchers each
    And all connections go through proxies
    When the connections to searchers go silent both and a client gathers each 100 ms for 4 s
    Then each response comes within 1000 ms, and within the target of 118 ms in the last 2 s

  Scenario: A caller that reads nothing does not hold its response for good
    Given a service with 2 good searchers
    And their responses have 6 MB
    When a caller sends a request and reads nothing for 25 s
    Then the instance has no connection left
