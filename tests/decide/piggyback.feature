Feature: Heartbeats piggybacked on acknowledgements
  Guards against acknowledgements that are counted for another view or for too long, and against
  members that lose their lease or are suspected because a heartbeat waits for one from the peer.

  Scenario: No schedule of faults lets two instances dispatch to one server
    When 30 random fault schedules run in simulated cells with combined heartbeats
    Then at least 10000 dispatches were checked for a second owner
    And at least 2000 acknowledgements came with a heartbeat

  Scenario: Without faults each pair has one exchange per period, and the leases do not run short
    Given a simulated cell of 9 with combined heartbeats
    Then in 20 simulated seconds at most 1512 heartbeats are sent
    And in 20 simulated seconds no live process has less than 0.75 s of its lease
    And the epoch is as before

  Scenario: The loss of initiators does not end the leases of their peers
    Given a simulated cell of 9 with combined heartbeats
    When a process is killed
    Then in 8 simulated seconds no live process has less than 0.25 s of its lease

  Scenario: A member that receives no more heartbeats sends its own
    Given a simulated cell of 9 with combined heartbeats
    When a process answers but sends no heartbeats
    Then within 1.0 simulated seconds each process that it called sends it a heartbeat

  Scenario: Slow messages make members send their own heartbeats
    Given a simulated cell of 9 with combined heartbeats
    When all messages take up to 0.4 s
    Then in 60 simulated seconds no live process has less than 0.25 s of its lease
    And the epoch is as before

  Scenario: The servers of a killed instance are taken over in time
    Given a simulated cell of 9 with combined heartbeats
    When a process is killed
    Then each server has one owner within 6.5 simulated seconds

  Scenario: A departing instance hands over without the delay for a lost one
    Given a simulated cell of 9 with combined heartbeats
    When a process leaves gracefully
    Then each server has one owner within 1.0 simulated seconds

  Scenario: A domain that is cut off stops dispatching while the majority continues
    Given a simulated cell of 9 with combined heartbeats
    When one of three domains is cut off
    And 60 simulated seconds pass
    Then no process of the domain that is cut off may dispatch
    And each server has one owner within 1.0 simulated seconds

  Scenario: A lasting one-way cut does not keep changing the view
    Given a simulated cell of 9 with combined heartbeats
    When one process no longer reaches another one
    And 200 simulated seconds pass
    Then the view has changed at most 30 times

  Scenario: Repeated crashes do not let the view document grow
    Given a simulated cell of 9 with combined heartbeats
    When a process crashes and restarts 60 times
    Then the stored view lists at most 30 earlier views and 6 departed members
    And each server has one owner within 8.0 simulated seconds
