Feature: Emulated searchers
  Guards against a journal that misses a violation of a limit, or records one that did not happen.

  Scenario: Work above the slots is refused and recorded
    Given an emulated searcher with {"slots": 2}
    When it receives 3 searches at once
    Then the searches end as done, done, shedding
    And its violations are slots 3/2
    And its peaks are 2 runs and 3 connections

  Scenario: A slot is free again as soon as its answer is sent
    Given an emulated searcher with {"slots": 1}
    When it receives 8 searches one after the other
    Then all 8 searches end as done
    And it has no violations

  Scenario: Violations of random traffic match an independent count
    Given an emulated searcher with {"slots": 2, "connections": 60, "connect_ms": 0}
    When it receives 30 random arrival patterns of 25 searches
    Then each journal matches the counts of a simple model

  Scenario: A connection above the limit is closed and recorded
    Given an emulated searcher with {"connections": 2}
    When 3 connections are opened, one is closed and a fourth is opened
    Then the third connection is lost and the fourth is served
    And its violations are connections 3/2

  Scenario: A new connection delays only its first answer
    Given an emulated searcher with {"connect_ms": 6, "service_ms": 10}
    When it receives 2 searches over one connection
    Then the answers take 16 and 10 ms

  Scenario: A cold searcher crashes above its cold slots and restarts cold
    Given an emulated searcher with {"starts_cold": true, "cold_slots": 1, "crash_down_ms": 200}
    When it receives 2 searches at once
    Then the searches end as connection_lost, connection_lost
    And its violations are cold 2/1
    And the runs end as crashed, crashed
    And after 300 ms it has another boot id and is cold

  Scenario: A cold searcher becomes warm by completed work
    Given an emulated searcher with {"starts_cold": true, "cold_slots": 1, "warm_work": 4}
    When it receives 4 searches one after the other, then 2 at once
    Then all 6 searches end as done
    And it has no violations

  Scenario: An overload after an unannounced cold start is recorded as such
    Given an emulated searcher with {"cold_overload": "shed"}
    When it becomes cold and receives 2 searches at once
    Then the searches end as done, shedding
    And its violations are cold_unannounced 2/1

  Scenario: A leaving searcher completes its work and refuses new work
    Given an emulated searcher with {}
    When it starts to leave while a search runs, and receives another
    Then the searches end as done, draining
    And its last start is before it left and its last arrival after it

  Scenario: A crash resets connections, and actions in flight may have had an effect
    Given an emulated searcher with {"crash_down_ms": 200}
    When it crashes while an action runs
    Then the searches end as connection_lost
    And the runs end as crashed, done
    And run 1 may have had an effect
    And its port refuses until it is back with another boot id

  Scenario: Only a request with the crash marker crashes a searcher
    Given an emulated searcher with {}
    And its faults are {"crash_marker": "poison"}
    When it receives a search for "harmless" and then one for "poison"
    Then the searches end as done, connection_lost
    And it has crashed 1 time

  Scenario: Cancellation frees the slot at once
    Given an emulated searcher with {"slots": 1, "service_ms": 500}
    When a running search is cancelled and another is sent at once
    Then the searches end as cancelled, done
    And it has no violations
    And run 1 had no effect

  Scenario: Work past its deadline is refused or dropped
    Given an emulated searcher with {"slots": 1, "service_ms": 50}
    When it receives actions whose deadlines are -5, 20 and 500 ms away
    Then the searches end as deadline, deadline, done
    And the runs that started are numbers 2, 3 and only 3 had an effect

  Scenario: A slot is free from the deadline on, even if the emulator handles it late
    Given an emulated searcher with {"slots": 1, "service_ms": 500}
    When a search arrives after a deadline that no task of the emulator has handled
    Then the runs end as deadline, done
    And it has no violations

  Scenario: A closed connection is not counted, even if the emulator handles the close late
    Given an emulated searcher with {"connections": 2}
    When a connection arrives after a close that no task of the emulator has handled
    Then it is accepted
    And it has no violations

  Scenario: A request whose client closes at once is run and recorded
    Given an emulated searcher with {}
    When a request arrives whose connection is dropped before its task runs
    Then the runs end as done

  Scenario: A client that disconnects frees its connection but not its slot
    Given an emulated searcher with {"slots": 1, "connections": 1, "service_ms": 100}
    When a client closes its connection during a search and another searches at once
    Then the searches end as shedding
    And its violations are slots 2/1
    And run 1 is recorded as done with its client gone

  Scenario Outline: An answer fault has the effect that its name states
    Given an emulated searcher with {}
    And its faults are {"answer": "<fault>", "answer_count": 1}
    When it receives 2 searches one after the other
    Then the first answer is <seen> and the second one is right

    Examples:
      | fault          | seen                      |
      | empty          | without body              |
      | truncated      | lost                      |
      | malformed_json | not JSON                  |
      | malformed_http | lost                      |
      | other_request  | wrong in request_id       |
      | other_shard    | wrong in shard            |
      | other_snapshot | wrong in snapshot         |
      | incomplete     | wrong in complete, hits   |
      | missing_fields | wrong in complete, count, hits, snapshot |
      | error          | status 500                |
      | reset          | lost                      |

  Scenario: Reports lag behind the actual load
    Given an emulated searcher with {"slots": 2, "service_ms": 100}
    And its faults are {"report_lag_ms": 80}
    When a search runs and its load is asked for after 10, 60 and 95 ms
    Then the reported loads are 0.0, 0.0 and 0.5

  Scenario: Reported load and state can differ from the actual ones
    Given an emulated searcher with {}
    And its faults are {"report_load": 0.25, "report_state": "warm"}
    When it starts to leave and its status is asked for
    Then the reported load is 0.25 and the reported state is "warm"

  Scenario: A searcher answers only from the snapshots that it holds
    Given an emulated searcher with {}
    When its snapshot is replaced between two searches for the old one
    Then the searches end as done, snapshot_gone
    And the refusal names the new snapshot

  Scenario: A straggler is slower by its factor
    Given an emulated searcher with {"connect_ms": 0, "service_ms": 10}
    And its faults are {"straggle": 4}
    When it receives 2 searches over one connection
    Then the answers take 40 and 40 ms

  Scenario: Actions that ran twice are found across searchers
    Given journals with a refused, a repeated and a crashed and repeated action
    When the journals are searched for duplicate runs
    Then the repeated actions are found and the refused one is not

  Scenario: The peak over many searchers matches a count at each start
    Then the peak of random runs is the highest count at any start
