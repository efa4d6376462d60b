Feature: Open-loop load generator
  Guards against a generator that delays requests while it waits for slow answers, which hides the
  latency that callers see.

  Scenario: A seed fixes the schedule
    Then the same seed gives the same arrivals, and another seed gives others
    And rates and tenant shares of a long schedule are those of the plan

  Scenario: Latency is measured from the intended send time
    Given a server that stalls for 2 s and then answers at once
    When 5 requests a second are sent for 4 s
    Then the latency of requests sent during the stall includes the whole wait

  Scenario Outline: An invalid plan is refused with its cause
    When phases "<phases>" and tenants "<tenants>" are read
    Then the plan is refused because of "<cause>"

    Examples:
      | phases  | tenants | cause  |
      | 10      | a       | 10     |
      | 5x-1    | a       | 5x-1   |
      | 5x10    | a=0     | a=0    |
      | 5x10    | a=x     | a=x    |

  Scenario: A report states refusals and missing shards
    Given answers that are complete, partial and refused
    Then the table and the JSON report state coverage, missing shards and refusals
