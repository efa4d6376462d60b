Feature: Planned stop of an instance
  Guards against a phase that delays the others or the end of the process without limit, a phase
  that fails without a report, and a second signal that does not take effect at once.

  Scenario: Each phase completes
    When an instance drains and each phase takes 0.2 s
    Then the drain is in state "drained" and each phase was done, in the order of the chart
    And the metrics show the state and how each phase ended

  Scenario Outline: A phase does not end by itself
    When an instance drains, phase "<phase>" hangs and the store is <store>
    Then the drain is in state "incomplete"
    And phase "<phase>" ended as "<ended>" at its limit of <limit> s, and the others were done
    And the metrics show the state and how each phase ended

    Examples:
      | phase           | store | ended      | limit |
      | finishing       | down  | timed_out  | 4     |
      | leaving_view    | up    | timed_out  | 2.5   |
      | leaving_view    | down  | store_down | 2.5   |
      | handing_over    | up    | timed_out  | 2.5   |
      | handing_over    | down  | store_down | 2.5   |
      | flushing_claims | up    | timed_out  | 5     |
      | flushing_claims | down  | store_down | 5     |
      | closing         | down  | timed_out  | 5     |

  Scenario Outline: No phase ends by itself
    When an instance drains and all phases from "<phase>" on hang
    Then the drain is in state "incomplete" and has taken the stop timeout of 15 s

    Examples:
      | phase     |
      | not_ready |
      | finishing |

  Scenario Outline: A second signal ends the stop at once
    When an instance drains and a second signal arrives in phase "<phase>"
    Then the drain is in state "cut_short" at the moment of the signal
    And no phase after "<phase>" has begun

    Examples:
      | phase           |
      | not_ready       |
      | finishing       |
      | leaving_view    |
      | handing_over    |
      | flushing_claims |
      | closing         |
