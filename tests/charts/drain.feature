Feature: Chart of a planned stop
  Guards against an event that a state ignores by mistake, against unreachable states, and against a
  stop that counts as drained although a phase was not done.

  Scenario: Complete chart
    Then chart drain answers each event in each state
    When a drain chart gets "done timed_out" it is in state "serving"
    And a drain chart gets "stop stop" it is in state "not_ready"
    And a drain chart gets "stop done" it is in state "finishing"
    And a drain chart gets "stop done done" it is in state "leaving_view"
    And a drain chart gets "stop done done done" it is in state "handing_over"
    And a drain chart gets "stop done done done done" it is in state "flushing_claims"
    And a drain chart gets "stop done done done done done" it is in state "closing"
    And a drain chart gets "stop done done done done done done" it is in state "drained"
    And a drain chart gets "stop timed_out done done done done done" it is in state "incomplete"
    And a drain chart gets "stop done done store_down done done done" it is in state "incomplete"
    And a drain chart gets "stop done done done done done timed_out" it is in state "incomplete"
    And a drain chart gets "second_signal stop" it is in state "cut_short"
    And a drain chart gets "stop timed_out second_signal done" it is in state "cut_short"
    Then each state was reached
    And each phase in the code is a state of the chart that "second_signal" ends
