Feature: Members of a cell
  Guards against backend servers with two owners at a time, and against members that fail or return
  without a new view.

  Scenario: Instances that start together form one view with few messages and store calls
    Given a running cell of 10 instances
    Then each backend server has one owner
    When 30 s pass in the cell
    Then no instance has sent more than 3000 bytes of heartbeats per second
    And the store had no reads or writes, and 2 waiting watches on the view and on the table

  Scenario: The servers of a killed instance are taken over
    Given a running cell of 5 instances
    When instance 2 is killed
    And 6.5 s pass in the cell
    Then each backend server has one owner

  Scenario: A server with work at its former owner waits for that work
    Given a running cell of 3 instances
    And the instance that owns "server-1" has work there
    When that instance starts to leave
    And 1.0 s pass in the cell
    Then "server-1" has no owner, and all other servers have one
    When the work at "server-1" ends
    And 1.0 s pass in the cell
    Then each backend server has one owner
    And that instance has left

  Scenario: A table edit does not bring a stopping instance back
    Given a running cell of 3 instances
    And a table in which all rows are in
    And the instance that owns "server-1" has work there
    When that instance starts to leave
    And 1.0 s pass in the cell
    And instance 0 edits the table
    And 1.0 s pass in the cell
    Then that instance is in no view
    When the work at "server-1" ends
    And 1.0 s pass in the cell
    Then each backend server has one owner
    And that instance has left

  Scenario: An instance that is replaced as a watcher ends its watches
    Guards against a third watch of a document, which would remain until its call ends after 25 s.
    Given a running cell of 3 instances
    When instances start until a new one watches the store
    And 2.0 s pass in the cell
    Then the view and the table have 2 waiting watches each

  Scenario: Servers that move to a new instance wait for the work at their former owners
    Given a running cell of 5 instances
    And each instance has work at all of its servers
    When another instance starts
    And 5.0 s pass in the cell
    Then all 6 instances are in one view
    And the new instance owns servers but dispatches to none of them
    When the work at all servers ends
    And 2.0 s pass in the cell
    Then each backend server has one owner

  Scenario: Leaving ends in bounded time while the store is down
    Given a running cell of 3 instances
    When the store of the cell goes down
    And instance 1 leaves, which takes at most 6.0 s
    Then instance 1 has not left but dispatches nothing

  Scenario: A row that is out takes its instance out of the view until it is in again
    Given a running cell of 3 instances
    And a table in which all rows are in
    When the row of instance 2 is set out
    And 1.0 s pass in the cell
    Then instance 2 is in state "out" and each backend server has one owner
    When the row of instance 2 is set in
    And 3.0 s pass in the cell
    Then instance 2 is in state "serving" and each backend server has one owner

  Scenario: A weight takes effect through the view, and 0 leaves an instance without servers
    Given a running cell of 5 instances
    And a table in which all rows are in
    When the weight of instance 2 is set to 0
    And 1.0 s pass in the cell
    Then instance 2 dispatches to no server but is a member
    And each backend server has one owner
    When the weight of instance 1 is set to 1000
    And 1.0 s pass in the cell
    Then instance 1 owns at least 11 of the 12 backend servers
    And each backend server has one owner
    When the weight of instance 1 is set to 1
    And the weight of instance 2 is set to 1
    And 1.0 s pass in the cell
    Then the owners are those of equal weights
    And each backend server has one owner

  Scenario: A server that a new weight moves waits for the work at its former owner
    Given a running cell of 3 instances
    And a table in which all rows are in
    And the instance that owns "server-1" has work there
    When the weight of that instance is set to 0
    And 1.0 s pass in the cell
    Then "server-1" has no owner, and all other servers have one
    When the work at "server-1" ends
    And 1.0 s pass in the cell
    Then each backend server has one owner

  Scenario: A weight that cannot be written to the view has no effect on any instance
    Given a running cell of 3 instances
    And a table in which all rows are in
    When the weight of instance 2 is set to 0 and the store goes down
    And 5.0 s pass in the cell
    Then the owners are those of equal weights
    And each backend server has one owner
    When the store of the cell comes back
    And 3.0 s pass in the cell
    Then instance 2 dispatches to no server but is a member
    And each backend server has one owner

  Scenario: An instance of weight 0 that restarts never dispatches to a server
    Given a running cell of 3 instances
    And a table in which all rows are in
    When the weight of instance 2 is set to 0
    And instance 2 is killed and restarts
    Then it dispatches to no server for 10 s although it becomes a member

  Scenario: A failure domain that is out takes its instances out of the view
    Given a running cell of 3 instances
    And a table in which all rows are in
    When the row of the domain of instance 2 is set out
    And 1.0 s pass in the cell
    Then instance 2 is in state "out" and each backend server has one owner

  Scenario: An instance out of service dispatches nothing even if the store goes down after the edit
    Given a running cell of 3 instances
    And a table in which all rows are in
    When the row of instance 2 is set out and the store goes down
    And 3.0 s pass in the cell
    Then instance 2 dispatches nothing

  Scenario: A write of the view without an answer is verified by a read
    Given a running cell of 3 instances
    When the store applies the next 2 writes without an answer
    And another instance starts
    And 6.0 s pass in the cell
    Then all 4 instances are in one view
    And each backend server has one owner

  Scenario: A store that returns an older view gets the newer one written back
    Given a running cell of 3 instances
    When the store returns to its first view
    And 3.0 s pass in the cell
    Then the store has the view of the instances again
    And each backend server has one owner

  Scenario: An instance that starts with an empty store takes the view of the listed instances
    Given a running cell of 3 instances
    When the store loses its view and another instance starts
    And 6.0 s pass in the cell
    Then all 4 instances are in one view
    And each backend server has one owner

  Scenario: An empty store gets no first view at once while a listed instance does not answer
    Given a running cell of 1 instances
    And the platform lists an instance that does not answer
    When instance 0 is killed and the store loses its view
    And another instance starts
    And 4.0 s pass in the cell
    Then the new instance has no view
    When 10.0 s pass in the cell
    Then each backend server has one owner

  Scenario: The operator confirms that lost instances have stopped
    Given a running cell of 3 instances
    When instance 1 is killed
    And instance 2 is killed
    And 20 s pass in the cell
    Then some backend server has no owner
    When the operator confirms the end of instance 1
    And the operator confirms the end of instance 2
    And 4.0 s pass in the cell
    Then each backend server has one owner

  Scenario: An instance that answers cannot be confirmed as stopped
    Given a running cell of 3 instances
    When the operator tries to confirm the end of instance 1
    Then the confirmation fails with "bad_request"
    And each backend server has one owner

  Scenario: A confirmation right after the end of an instance is not lost
    Given a running cell of 2 instances
    When instance 1 is killed
    And the operator confirms the end of instance 1
    And 3.0 s pass in the cell
    Then each backend server has one owner

  Scenario: The charts of instances and of the table handle each event in each state
    Then the charts "instance" and "table_revision" handle each event in each state

  Scenario: A sender whose number is unknown gets no acknowledgement and sends its name again
    Given a running cell of 3 instances
    When a heartbeat with an unknown number reaches instance 0
    Then the acknowledgement confirms no epoch, names instance 0 and carries no heartbeat
    And a sender that gets it or no answer sends its name in its next heartbeat
