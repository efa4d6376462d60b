Feature: Slots and connections of each searcher
  Guards against load above the limits of the table, also while instances use different tables.

  Scenario: Effective limits
    Then no limit of any random table exceeds its rows

  Scenario: Largest remainders
    Then random shares are whole, within their caps and use up the total

  Scenario: A table replaces another
    Then instances with any mix of a table and its successor keep the sums within the larger rows
