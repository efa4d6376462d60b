Feature: One budget for hedges, retries and reconnects
  Guards against extra sub-requests above 2% and against any during overload.

  Scenario: Extra sub-requests stay within 2% and a burst of 10
    When random first and extra sub-requests use a budget
    Then at each moment the paid ones stay within 2% of the first ones and a burst of 10
    And none is paid for during overload

  Scenario Outline: The price of a retry depends on what the failure cost a server
    Then a retry after "<reason>" with ran "<ran>" costs <price>

    Examples:
      | reason           | ran     | price |
      | connection_lost  | unknown | 1.0   |
      | deadline         | unknown | 1.0   |
      | unheard_of       | unknown | 1.0   |
      | peer_unavailable | unknown | 1.0   |
      | peer_unavailable | not_run | 0.0   |
      | shedding         | unknown | 0.1   |
      | draining         | unknown | 0.1   |
      | no_owner         | unknown | 0.0   |
