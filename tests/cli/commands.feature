Feature: Command line
  Guards against commands that exit with 0 after a refusal, print a traceback instead of an error
  message, or send something other than their arguments.

  Background:
    Given a running administration API for these tokens
      | token  | team      | scopes              | services |
      | fleet  | operators | read, edit, operate |          |
      | viewer | operators | read                |          |

  Scenario Outline: Invalid input exits with 2 and one line that names the fault
    When the command line is: <command>
    Then it exits with 2 and one error line that says "<text>"

    Examples:
      | command                                             | text                                        |
      | table                                               | bad_arguments: rattanrelay: too few         |
      | fly                                                 | invalid choice: 'fly'                       |
      | table set services                                  | bad_arguments: table set: the following     |
      | table set services logging queue 5 --fast           | --fast                                      |
      | table show things                                   | kind 'things' is not known; allowed: serv   |
      | table get services logging height                   | no column 'height'; allowed: name, policy   |
      | table add domains leon weight                       | value 'weight' is not allowed: column=value |
      | table show services --admin nowhere                 | --admin: value 'nowhere' is not allowed     |
      | table show services --admin 127.0.0.1:99999         | a port from 1 to 65535                      |
      | table show services --token-file /nonexistent       | /nonexistent: No such file                  |
      | table import /nonexistent.csv                       | /nonexistent.csv: No such file              |
      | table import {bad.csv}                              | bad.csv: services row 'logging', column w   |
      | table import {unknown.csv}                          | unknown.csv: the kind of the rows is not    |
      | check                                               | give at least one file                      |
      | check /nonexistent.toml                             | bad_settings: /nonexistent.toml: No such    |
      | check {port.toml}                                   | key callers.port: value 70000 is not allow  |
      | check {token.toml}                                  | key admin_tokens[0].file: value '/nonexis   |
      | check {bad.csv}                                     | value 'heavy' is not allowed: a whole numb  |
      | check {range.csv}                                   | value 0 is not allowed: a whole number fro  |
      | query logging                                       | --tenant                                    |
      | query logging --tenant t --filter [1]               | --filter: value '[1]' is not allowed        |

  Scenario Outline: A refusal exits with 1 and one line with the error code of the server
    When the command line is: <command>
    Then it exits with 1 and one error line that says "<text>"

    Examples:
      | command                                           | text                                          |
      | table set services logging queue many             | bad_table: services row 'logging', column qu  |
      | table set services logging queue 8 --was 9        | edit_conflict: services/logging/queue         |
      | table set services logging queue 8 --revision 3   | precondition_failed: If-Match                 |
      | table set services nothing queue 8                | not_found: services have no row 'nothing'     |
      | table add domains oviedo weight=3                 | edit_conflict: domains/oviedo                 |
      | table remove domains oviedo                       | bad_table:                                    |
      | domain out nowhere                                | not_found: domains have no row 'nowhere'      |
      | instance confirm-stopped entry-1                  | bad_request: this instance runs               |
      | domain out oviedo --token-file {viewer}           | forbidden: the token of team operators lacks  |
      | table show services --token-file {unknown}        | unauthorized:                                 |
      | table show services --admin {closed}              | connect_failed:                               |
      | status --until 99                                 | deadline: revision 99 is not known to be in   |

  Scenario Outline: Accepted commands exit with 0 and print the result
    When the command line is: <command>
    Then it exits with 0 and prints "<text>"

    Examples:
      | command                                                | text                                         |
      | table show services                                    | logging  tail                                |
      | table show services logging                            | Longest queue of one searcher                |
      | table show services --json                             | "revision": 7                                |
      | table columns tenants                                  | a whole number from 1 to 1000                |
      | table get servers log-1 connect_ms                     | 6.0                                          |
      | table set services logging queue 8                     | revision 8: services/logging/queue: 16 to 8  |
      | table set services logging hedge false --was true      | revision 8: services/logging/hedge           |
      | table add domains leon weight=3                        | revision 8: domains/leon added               |
      | table remove tenants museum                            | revision 8: tenants/museum removed           |
      | table export tenants                                   | #rattanrelay,tenants,7                       |
      | table import {good.csv} --dry-run                      | services logging queue: 16 to 9              |
      | table import {good.csv}                                | revision 8: services/logging/queue: 16 to 9  |
      | domain out oviedo --dry-run                            | *            12            8            1.5  |
      | domain out oviedo                                      | instances in oviedo: 1 before, 0 after       |
      | server in log-1                                        | revision 8                                   |
      | service out booking                                    | services/booking/state: 'in' to 'out'        |
      | instance out entry-2                                   | instances/entry-2/state                      |
      | instance confirm-stopped entry-3                       | instance entry-3 is confirmed as stopped     |
      | status                                                 | departed and not known to have stopped: ent  |
      | status                                                 | stopping: finishing for 0.5 s                |
      | status                                                 | not_ready: done after 3.0 s                  |
      | status --until 6                                       | revision 6 is in force on all 2 members      |
      | status --json                                          | "in_force_everywhere": 6                     |
      | table show services --admin {closed},{admin}           | logging  tail                                |
      | check {good.csv}                                       | 1 rows of services are correct               |
      | check {good.toml}                                      | settings of instance entry-1 are correct     |

  Scenario: An export that is edited and imported changes the table accordingly
    When the command line is: table export services --file {out.csv}
    And the file "out.csv" has "coverage" replaced by "tail"
    And the command line is: table set services logging queue 5 --note disks
    And the command line is: table import {out.csv}
    Then the cell "services" "booking" "policy" of the served table is "tail"
    And the cell "services" "logging" "queue" of the served table is 5
    When the command line is: table history
    Then it exits with 0 and prints "(disks)"

  Scenario: The error of a wait for a revision names the members that lack it
    When the command line is: table set services logging queue 8 --wait
    Then it exits with 1 and one error line that says "not known to be in force on entry-1, entry-2"
    And the cell "services" "logging" "queue" of the served table is 8

  Scenario: The status command fails if an instance does not respond but prints the others
    When the command line is: status --admin {closed},{admin}
    Then it exits with 1 and one error line that says "connect_failed"
    And it prints "instance entry-1: ready"

  Scenario: A partial answer shows its coverage and snapshot
    Given a caller interface that answers 200 with
      """
      {"request_id": "r1", "outcome": "done", "snapshot": "s4", "count": 9, "hits": [{"id": 1}],
       "coverage": {"shards": 3, "answered": 2, "missing": [{"shard": "b", "reason": "no_owner"}]}}
      """
    When the command line is: query logging --tenant museum --filter {"a":1} --limit 5
    Then it exits with 0 and prints "shards 2 of 3"
    And it prints "snapshot s4"
    And it prints "missing b: no_owner"
    And the caller interface has received "/v1/services/logging/query" with {"filter": {"a": 1}, "limit": 5}

  Scenario: The query and load commands verify the certificate of a caller interface with TLS
    Given a caller interface with TLS that answers 200 with
      """
      {"request_id": "r1", "outcome": "done", "snapshot": "s4", "count": 0, "hits": [],
       "coverage": {"shards": 3, "answered": 3, "missing": []}}
      """
    When the command line is: query logging --tenant museum --ca-file {ca.pem}
    Then it exits with 0 and prints "shards 3 of 3"
    When the command line is: load {callers} logging --phases 1x5 --tenants museum --ca-file {ca.pem} --json {out.csv}
    Then it exits with 0 and prints "tenant museum     5     5"
    And the load report "out.csv" says that all 5 queries were answered
    And the caller interface has received 6 requests
    When the command line is: query logging --tenant museum --ca-file {other.pem}
    Then it exits with 1 and one error line that says "connect_failed: TLS: "
    And the error says "certificate verify failed"
    When the command line is: query logging --tenant museum
    Then it exits with 1 and one error line that says "connection_lost"
    When the command line is: query logging --tenant museum --ca-file {good.csv}
    Then it exits with 2 and one error line that says "no PEM certificates"
    When the command line is: load {callers} logging --ca-file /nonexistent
    Then it exits with 2 and one error line that says "No such file"
    And the caller interface has received 6 requests

  Scenario: A failed non-idempotent request prints its key for the next attempt
    Given a caller interface that answers 504 with
      """
      {"request_id": "r1", "outcome": "unknown", "code": "outcome_unknown", "message": "no answer"}
      """
    When the command line is: query booking --tenant museum --action {"book":1} --route box --key 0190c0de-0000-7000-8000-000000000000
    Then it exits with 1 and one error line that says "outcome_unknown: no answer"
    And it prints "key 0190c0de-0000-7000-8000-000000000000"
    And the caller interface has received "/v1/services/booking/actions" with {"route": "box", "action": {"book": 1}}

  Scenario: A response that is not from this API is reported as a bad answer
    Given a caller interface that answers 502 with
      """
      <html>proxy</html>
      """
    When the command line is: query logging --tenant museum
    Then it exits with 1 and one error line that says "bad_answer: status 502"

  Scenario Outline: An exception in a command is also reported in one line
    When a command raises <error>
    Then it exits with <code> and one error line that says "<text>"

    Examples:
      | error            | code | text                      |
      | ValueError       | 1    | internal: ValueError: odd |
      | ExceptionGroup   | 1    | not_ready: no table       |

  Scenario: An interrupted command exits with 130
    When a command raises KeyboardInterrupt
    Then it exits with 130 and prints ""

  Scenario: Only the module of the first word is imported
    Then the command "check" imports no other command module
