Feature: Checks of the operators' table
  Guards against accepting a table with an invalid cell, and against errors that do not name the cell.

  Scenario: The sample table has no problems
    Given the operators' sample table
    Then the table has no problem

  Scenario Outline: The error for an invalid cell names its value and the allowed values
    Given the operators' sample table
    When the cell "<kind>" "<row>" "<column>" is forced to <value>
    Then the only problem is at "<kind>" "<row>" "<column>" and says "<allowed>"

    Examples:
      | kind      | row      | column           | value                | allowed                |
      | services  | logging  | max_in_flight    | -1                   | from 1 to 1000000      |
      | services  | logging  | warm_latency_ms  | NaN                  | from 0.01 to 600000    |
      | services  | logging  | policy           | "fast"               | tail or coverage       |
      | services  | logging  | soft_deadline_ms | 1001                 | at most timeout_ms     |
      | services  | logging  | name             | "a b"                | 1 to 64 letters        |
      | services  | logging  | name             | "other"              | the key of the row     |
      | services  | logging  | queue            | 0                    | from 1 to 1000000      |
      | domains   | oviedo   | state            | "off"                | in or out              |
      | domains   | oviedo   | weight           | 0                    | from 1 to 1000         |
      | servers   | log-1    | failure_domain   | "leon"               | oviedo                 |
      | servers   | log-1    | service          | "nope"               | such as booking        |
      | servers   | log-1    | cold_slots       | 3                    | at most slots, 2       |
      | servers   | log-1    | connections      | 1                    | at least slots, 2      |
      | servers   | log-1    | addresses        | "db.example:80"      | IPv4:port              |
      | servers   | log-1    | addresses        | "10.0.0.9:0"         | IPv4:port              |
      | servers   | log-1    | addresses        | "[::1]:9000"         | IPv4:port              |
      | servers   | log-1    | addresses        | "10.0.0.9:9  10.0.0.8:9" | IPv4:port          |
      | servers   | log-1    | addresses        | ""                   | IPv4:port              |
      | instances | entry-1  | failure_domain   | "leon"               | oviedo                 |
      | tenants   | museum   | max_in_flight    | 0                    | from 1 to 1000000      |
      | tenants   | museum   | team             | "a/b"                | empty, or 1 to 64      |

  Scenario: A searcher's address that two servers use is reported for both
    Given the operators' sample table
    When the cell "servers" "log-1" "addresses" is forced to "10.0.1.2:9000"
    Then the problems are at the rows "log-1, log-2"

  Scenario: A table that exceeds the size of a store value is refused
    Given a table of 20000 servers
    Then the only problem is at "table" "*" "*" and says "at most 1000000 bytes"
