Feature: Chart of a backend server
  Guards against events that a state ignores by mistake, and against unreachable states.

  Scenario: Complete chart
    Then chart backend_server answers each event in each state
    When a backend_server chart gets "returned" it is in state "unknown"
    And a backend_server chart gets "reached shed" it is in state "cold"
    And a backend_server chart gets "reached grown reached" it is in state "ramping"
    And a backend_server chart gets "reached grown full grown" it is in state "warm"
    And a backend_server chart gets "reached full shed" it is in state "ramping"
    And a backend_server chart gets "reached full cold" it is in state "cold"
    And a backend_server chart gets "reached full draining full" it is in state "leaving"
    And a backend_server chart gets "reached draining reached" it is in state "cold"
    And a backend_server chart gets "reached full lost full" it is in state "lost"
    And a backend_server chart gets "lost reached" it is in state "cold"
    And a backend_server chart gets "reached full taken_out reached" it is in state "out"
    And a backend_server chart gets "taken_out returned" it is in state "cold"
    Then each state was reached
    And a chart refuses an event that it does not know
