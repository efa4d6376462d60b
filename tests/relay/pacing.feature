Feature: Searchers get no more requests than they state that they take
  Guards against a searcher that is overloaded although it has stated its limit, or that gets requests
  after it has stated that it wants none.

  Scenario Outline: All instances together keep to the rate that searchers state
    Given 6 instances in 2 domains, and 2 searchers of each of <shards> shards that state a rate of <rate>
    When clients send <load> requests a second for 12 s <how>
    Then no searcher gets over 1.5 times its rate and 5 requests in 4 s, from 1 s after it stated it
    And the searchers get at least <share> of the rates that they state

    Examples:
      | shards | rate | load | how                 | share |
      | 1      | 10   | 60   | to all instances    | 0.8   |
      | 1      | 2.5  | 60   | to all instances    | 0.8   |
      | 10     | 10   | 40   | to all instances    | 0.6   |
      | 1      | 10   | 60   | to one instance     | 0.1   |
      | 1      | 10   | 60   | while instances end and start | 0.4   |

  Scenario: What searchers with a limit cannot take is refused at once
    Given 6 instances in 2 domains, and 2 searchers of each of 1 shards that state a rate of 5
    When clients send 60 requests a second for 6 s to all instances
    Then each request is answered, or refused within 0.15 s as not run with a Retry-After

  Scenario: Gathered requests that cannot have enough parts are refused before any part is asked for
    Given 6 instances in 2 domains, and 2 searchers of each of 10 shards that state a rate of 5
    When clients send 40 requests a second for 6 s to all instances
    Then at least 0.8 of the refused requests have reached no searcher

  Scenario: A searcher that states no rate any more gets all requests again
    Given 6 instances in 2 domains, and 2 searchers of each of 1 shards that state a rate of 5
    When clients send 30 requests a second for 4 s, and for 4 s after the searchers state none
    Then all requests of the last 3 s are answered

  Scenario Outline: All instances serve again after searchers have stated a rate that is too low to divide
    Guards against an instance without a part of the rate that refuses a service for good, since only
    answers tell it that the searchers take all requests again.
    Given <count> instances in 2 domains, and <searchers> searchers of a service that state a rate of <rate>
    When clients of <callers> ask for 10 s, and for 12 s after the searchers state none
    Then all requests of the last 5 s are answered at each instance that was asked
    And no searcher got over 1.5 times its rate and 5 requests in 4 s while it stated it

    Examples:
      | count | searchers | rate | callers                    |
      | 9     | 2         | 1    | all instances              |
      | 9     | 1         | 1    | all instances              |
      | 9     | 3         | 0    | all instances              |
      | 12    | 2         | 5    | all instances              |
      | 9     | 1         | 1    | one instance without a part |

  Scenario Outline: An instance serves again although those with a part of the rate lend it none
    Given 6 instances in 2 domains, and 1 searchers of a service that state a rate of 1
    When the instance with a part <fault>, and clients of one instance without a part ask until 45 s after the searchers state none
    Then all requests of the last 5 s are answered at each instance that was asked

    Examples:
      | fault                  |
      | ends                   |
      | knows no such searcher |

  Scenario: A searcher that states a rate of 0 is asked again when it takes requests
    Given a service with 1 searchers that states a rate of "0"
    When a client asks 4 times, and once each second for 12 s after the searcher states none
    Then the searcher got at most 2 requests before, and the last client is answered

  Scenario: A searcher that states that it is leaving gets nothing more from that instance
    Given a service with 2 searchers, of which one is leaving
    When a client asks 20 times
    Then all are answered, and the one that is leaving got 1

  Scenario: A searcher that starts again is used again
    Given a service with 2 searchers, of which one is leaving
    When both have started again after a client has asked 20 times
    Then a client that asks 20 times more reaches the one that was leaving

  Scenario Outline: A searcher that turns requests away for some seconds is left alone
    Given a service with <count> searchers that turn requests away for 3 s
    When a client asks each 0.1 s for 2.9 s
    Then each searcher got at most 1, and those refused later are told to come back within 4.5 s

    Examples:
      | count |
      | 1     |
      | 3     |

  Scenario Outline: A limit that cannot be read is none
    Given a service with 1 searchers that states a rate of "<text>"
    When a client asks 20 times
    Then it gets status 200 each time

    Examples:
      | text  |
      | nan   |
      | -1    |
      | 1e999 |
      | many  |

  Scenario: Searchers that come back cold under their names get no more than cold ones take
    Guards against requests that waited for a searcher and flood it before its new entry is read.
    Given 6 instances in 2 domains, and 3 searchers that take 4 requests a second while they are cold
    When they end under a load of 120 requests a second, and are back after 3 s, with an entry 0.6 s later
    Then none of them gets more than 11 requests in one second while it is cold
    And they get at least 6 requests a second then, and all requests are answered at the end
