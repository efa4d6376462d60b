Feature: Dispatch to the backend servers of an instance
  Guards against load above the limits, work for servers that the instance does not own, responses
  that are matched to another request, wrong statements about what ran, and too much work for
  servers that start or leave.

  Scenario: Random work within the limits
    Given a dispatcher with 3 slots and 20 connections
    When 400 random sub-queries run, with cancellations and faults
    Then no limit was exceeded and each answer reached its own request

  Scenario: One connection for work, polls and cancellations
    Given a dispatcher with 2 slots and 3 connections
    When shards "a b c" are asked for within 1 s
    Then the results are "a=ok b=ok c=ok"
    And no more than 1 connections were open and 1 were opened

  Scenario Outline: A response that does not belong to the request is a failure
    Given a dispatcher with 2 slots and 25 connections
    And the searcher's work has the fault "<fault>"
    When shards "a" are asked for within 1 s
    Then the results are "a=<reason>"
    And <slots> slots are in use at once and none 5 s later
    And no more than 6 connections were open and 2 were opened

    Examples:
      | fault          | reason            | slots |
      | crossed        | bad_answer        | 1     |
      | other_shard    | bad_answer        | 1     |
      | incomplete     | bad_answer        | 1     |
      | other_snapshot | snapshot_mismatch | 0     |
      | reset          | connection_lost   | 1     |

  Scenario Outline: Refusals and deadlines
    Given a dispatcher with 2 slots and 25 connections
    And the searcher's work has the fault "<fault>"
    When shards "a" are asked for within <timeout> s
    Then the results are "a=<reason>"
    And <slots> slots are in use at once and none 5 s later

    Examples:
      | fault         | timeout | reason        | slots |
      | snapshot_gone | 1       | snapshot_gone | 0     |
      | shedding      | 1       | shedding      | 0     |
      | draining      | 1       | draining      | 0     |
      | hang          | 0.5     | deadline      | 1     |
      | hang          | 4       | deadline      | 0     |

  Scenario: A full queue
    Given a dispatcher with a queue of 2
    And the searcher's work has the fault "hang"
    When shards "a b c d" are asked for within 0.5 s
    Then the results are "a=deadline b=deadline c=deadline d=queue_full"

  Scenario: Work that cannot end in time is not started
    Given a dispatcher with 1 slots and 4 connections
    And each search takes 0.2 s
    When shards "a b c" are asked for within 0.5 s
    Then the results are "a=ok b=ok c=too_late"
    And the searcher got 2 searches

  Scenario: Faster searches replace the expected duration of slow ones
    Given a dispatcher with 1 slots and 4 connections
    And each search takes 0.2 s
    When shards "a b" are asked for within 0.5 s
    And each search takes 0.01 s
    And shards "c" are asked for within 0.1 s
    Then the last result is "c=ok"

  Scenario: A searcher that cannot be reached
    Given a dispatcher with 2 slots and 25 connections
    And the searcher's work has the fault "unreachable"
    When shards "a" are asked for within 1 s
    Then the results are "a=connect_failed"

  Scenario Outline: Outcomes of actions
    Given a dispatcher with 2 slots and 25 connections
    When an action runs while the searcher's fault is "<fault>"
    Then its outcome is "<outcome>" with code "<code>", and it was sent <count> times

    Examples:
      | fault       | outcome | code            | count |
      | none        | done    | none            | 1     |
      | shedding    | not_run | shedding        | 1     |
      | draining    | not_run | draining        | 1     |
      | unreachable | not_run | connect_failed  | 0     |
      | hang        | not_run | deadline        | 1     |
      | reset       | unknown | outcome_unknown | 1     |
      | crossed     | unknown | outcome_unknown | 1     |
      | incomplete  | unknown | outcome_unknown | 1     |

  Scenario: An expired lease
    Given a dispatcher with 2 slots and 25 connections
    Then nothing is sent after the lease has expired with 2 sent and 2 queued
    And the results are "s0=ok s1=ok s2=no_quorum s3=no_quorum z=no_quorum"

  Scenario: The requester abandons work
    Given a dispatcher with 2 slots and 25 connections
    When the requester abandons 3 sub-requests of 1 s after 0.1 s
    Then 2 cancellations were sent and the slots in use went "2 0 0 0 0"

  Scenario: The requester abandons work and the server does not confirm the cancellation
    Given a dispatcher with 2 slots and 25 connections
    And the searcher ignores cancellations
    When the requester abandons 3 sub-requests of 1 s after 0.1 s
    Then 2 cancellations were sent and the slots in use went "2 2 2 0 0"

  Scenario: A searcher that restarts without an announcement
    Given a dispatcher over TCP with 4 slots
    Then a warm searcher that restarts between two bursts of 12 is not overloaded

  Scenario Outline: A searcher that leaves
    Given a dispatcher with 2 slots and 25 connections
    When work arrives all the time and the searcher leaves by <place> after 3 s
    Then it got work before, none after 3 s more, and is in state "leaving"

    Examples:
      | place  |
      | status |
      | header |

  Scenario: A row that is taken out
    Given a dispatcher with 2 slots and 25 connections
    When work arrives all the time and the searcher row is taken out after 3 s
    Then it got work before, none after 0.001 s more, and is in state "out"

  Scenario: A server that moves to another owner
    Given a dispatcher with 2 slots and 25 connections
    Then a server with 2 sub-requests in flight is held for its new owner until they end
    And the results are "s0=ok s1=ok s2=no_owner z=ok"

  Scenario: A graceful release
    Given a dispatcher with 2 slots and 25 connections
    Then a release with 4 sub-requests returns when they and the connections have ended
    And the results are "s0=ok s1=ok s2=ok s3=ok z=no_owner"

  Scenario: A request that crashes its server is not repeated on this instance
    Given a dispatcher with canaries
    When 4 copies of a request that crashes its server run as canaries of kind canary
    Then it ran 1 times and 1 entry is shared
    And the results are "a=connection_lost a=request_suspect a=request_suspect a=request_suspect"

  Scenario: A second crash blocks the request
    Given a dispatcher with canaries
    When 4 copies of a request that crashes its server run as canaries of kind suspect
    Then it ran 2 times and 1 entry is shared
    And the results are "a=connection_lost a=connection_lost a=request_blocked a=request_blocked"

  Scenario: A broken connection to a server that still runs is not a crash
    Given a dispatcher with canaries
    When 4 copies of a request whose connection is cut run as canaries
    Then it ran 4 times and 0 entry is shared
    And the results are "a=connection_cut a=connection_cut a=connection_cut a=connection_cut"

  Scenario: A crash is recorded after the requester has abandoned the request
    Given a dispatcher with canaries
    When the requester abandons a canary that crashes its server later
    Then it ran 1 times and 1 entry is shared

  Scenario: A higher limit takes effect when work under the earlier table has ended
    Given a dispatcher for two servers of 3 slots in a domain of 4
    When one of them is taken out
    Then the limit of the other one went "2 2 2 3"

  Scenario: Messages of another instance
    Given a dispatcher over TCP with 2 slots
    Then an instance that leaves a stream of 3 shards after the first result cancels the others
