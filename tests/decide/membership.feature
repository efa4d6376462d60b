Feature: Membership and ownership of a cell
  Guards against two instances that dispatch to one backend server, and against backend servers
  that remain without an owner.

  Scenario: No schedule of faults lets two instances dispatch to one server
    When 30 random fault schedules run in simulated cells
    Then at least 10000 dispatches were checked for a second owner

  Scenario: The servers of a killed instance are taken over in time
    Given a simulated cell of 9
    When a process is killed
    Then each server has one owner within 6.5 simulated seconds

  Scenario: A departing instance hands over without the delay for a lost one
    Given a simulated cell of 9
    When a process leaves gracefully
    Then each server has one owner within 1.0 simulated seconds

  # A sub-request in flight may last 2.0 s, and its end is reported with the next heartbeat.
  Scenario: An instance whose weight becomes 0 hands over without the delay for a lost one
    Given a simulated cell of 9
    When the weight of a process changes to 0 in all tables
    And 1 simulated seconds pass
    Then that process owns no server
    And each server has one owner within 2.0 simulated seconds
    And the servers of the other processes have kept their owners
    And the epoch has risen by 1

  Scenario: Instances that hold an older table do not undo a change of weight
    Given a simulated cell of 9
    When the weight of a process changes to 0 in one table only
    And 20 simulated seconds pass
    Then that process owns no server
    And each server has one owner within 1.0 simulated seconds
    And the epoch has risen by 1

  Scenario: A process that skipped a view in which its weight was 0 keeps no server from before
    Given a process that has taken over its servers under view 1 with two equal members
    When it adopts view 3 with equal members, and in view 2 its weight was 0
    Then it has taken over no server before the other member acknowledges view 3

  Scenario: Dispatch continues while the store is down, and the view changes once it is back
    Given a simulated cell of 9
    When the simulated store goes down
    And a process is killed
    And 20 simulated seconds pass
    Then the epoch is as before
    And the live processes own the servers that they owned before
    When the simulated store comes back
    Then each server has one owner within 8.0 simulated seconds

  Scenario: After the loss of two of three domains only evidence of their end frees their servers
    Given a simulated cell of 9
    When two of three domains are killed
    And 30 simulated seconds pass
    Then the live processes own the servers that they owned before
    And the servers of the killed processes have no owner
    When the killed processes start again at their addresses
    Then each server has one owner within 12.0 simulated seconds

  Scenario: The operator's confirmation frees the servers of lost instances
    Given a simulated cell of 9
    When two of three domains are killed
    And 30 simulated seconds pass
    Then the servers of the killed processes have no owner
    When the operator confirms that the killed processes have stopped
    Then each server has one owner within 4.0 simulated seconds

  Scenario: A domain that is cut off stops dispatching while the majority continues
    Given a simulated cell of 9
    When one of three domains is cut off
    And 60 simulated seconds pass
    Then no process of the domain that is cut off may dispatch
    And each server has one owner within 1.0 simulated seconds

  Scenario: A lasting one-way cut does not keep changing the view
    Given a simulated cell of 9
    When one process no longer reaches another one
    And 200 simulated seconds pass
    Then the view has changed at most 30 times

  Scenario: Repeated crashes do not let the view document grow
    Given a simulated cell of 9
    When a process crashes and restarts 60 times
    Then the stored view lists at most 30 earlier views and 6 departed members
    And each server has one owner within 8.0 simulated seconds
