Feature: Edits of cells and rows
  Guards against an edit that silently overwrites the edit of another operator, and against a history
  that does not match the table.

  Scenario: Random concurrent edits of the same revision by two operators
    Then in 300 random pairs, edits of the same cell conflict and others are both applied

  Scenario: The second of two conflicting edits fails with the value and author of the first
    Given the operators' sample table
    When "anna" and then "berta" set "services" "logging" "max_in_flight" to 800 and 900
    Then the second edit fails with "edit_conflict" that says "anna (revision 8) wrote 800"
    And the second edit fails with "edit_conflict" that says "you saw 1000 and wrote 900"

  Scenario: Two operators write the same value
    Given the operators' sample table
    When "anna" and then "berta" set "services" "logging" "max_in_flight" to 800 and 800
    Then both edits are applied

  Scenario: An edit of a row that another operator removed
    Given the operators' sample table
    When "anna" removes "servers" "log-1" and "berta" sets its "slots" to 4
    Then the second edit fails with "edit_conflict" that says "removed the row"

  Scenario: Two edits that are each valid but conflict with each other
    Given the operators' sample table
    When "anna" removes "domains" "leonardo" and "berta" moves "servers" "log-1" there
    Then the second edit fails with "bad_table" that says "failure_domain"

  Scenario: An existing problem does not prevent taking a failure domain out
    Given the operators' sample table
    When the cell "servers" "log-1" "cold_slots" is forced to 3
    Then the domain "oviedo" can still be taken out

  Scenario: Each earlier revision in the history can be restored
    Then in 100 random sequences of edits each revision in the history is restored exactly
