Feature: Columns of the table and the operators' guide
  Guards against a column that is not checked or not explained, and against a code without advice.

  Scenario: Each field of a row has a column with its type, and its default is allowed
    Then the columns are the fields of the rows

  Scenario: The operators' guide explains each column and each code
    Then the operators' guide lists each column with its unit and default
    And the operators' guide lists each error code
