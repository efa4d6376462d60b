Feature: Replica selection by the instance's own observations
  Guards against load reports that attract work, failures that count for ever, and replicas that are
  never tried again.

  Scenario: The cheaper of two replicas is chosen
    When replicas with random observations are chosen from
    Then each choice is a candidate and not more expensive than another one of two

  Scenario: Load reports only lower a weight
    When replicas with random observations receive random load reports
    Then no report lowers the cost below that without a report

  Scenario: Failures and old observations decay
    When replicas with random observations fail
    Then each failure raises the cost, and after 60 s the cost is that of a new replica
