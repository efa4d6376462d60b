Feature: Emulated network, balancer and instance list
  Guards against proxy faults that lose, alter or delay other bytes than those they name, and against
  a balancer or an instance list that reacts before or after its lag.

  Scenario: A healthy route passes bytes in both directions
    When 100000 random bytes are sent through a route to an echo
    Then the echo is the same bytes

  Scenario: Splitting into small pieces does not change the bytes
    Given route faults {"piece_bytes": 7, "piece_gap_ms": 0}
    When 3000 random bytes are sent through a route to an echo
    Then the echo is the same bytes

  Scenario Outline: A connection is cut after an exact number of bytes
    Given route faults {"<setting>": 1000}
    When 3000 random bytes are sent through a route to an echo
    Then the <end> received exactly the first 1000 bytes before the reset

    Examples:
      | setting             | end    |
      | cut_after_to_target | target |
      | cut_after_to_client | client |

  Scenario Outline: A black hole holds back bytes of a direction and delivers them once it ends
    When the route gets a black hole <direction> and a request is sent
    Then the target <target> it, the client <client> the echo, and after healing all is delivered

    Examples:
      | direction | target        | client        |
      | to_target | does not get  | does not get  |
      | to_client | gets          | does not get  |
      | both      | does not get  | does not get  |

  Scenario: Delay is added to each direction
    Given route faults {"delay_ms": 30}
    When a request and its echo pass through the route
    Then they take 60 ms

  Scenario: Faults for one source host do not affect the others
    Given faults {"refuse": true} for source host 127.0.0.2
    When clients connect from 127.0.0.1 and 127.0.0.2
    Then only the client from 127.0.0.1 is served

  Scenario: A cut resets the open connections
    When open connections of a route are cut
    Then both ends see a reset, and a new connection is served

  Scenario Outline: Open connections that go silent stay so, and new ones work
    When open connections go silent <direction> and a request is sent on an open and a new one
    Then the target <target> the first one, and only the new connection has an echo

    Examples:
      | direction | target       |
      | to_target | does not get |
      | to_client | gets         |
      | both      | does not get |

  Scenario: The balancer is round-robin and keeps a stopped target in use for its lag
    Given a balancer over 3 entry instances with a lag of 1000 ms
    When 6 calls are made, one instance stops, and calls go on for 3 s
    Then each instance got 2 of the 6 calls
    And calls fail only in the first 1500 ms after the stop, and some do

  Scenario: The instance list shows a change only after its lag
    Given an instance list with a lag of 800 ms
    When an instance is added, changed and removed 100 ms apart
    Then the list shows each state 800 ms after its change
