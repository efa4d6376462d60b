Feature: Administration API
  Guards against edits that are lost, reverted or made without permission, and against a team that
  reads or changes the rows of another team.

  Background:
    Given an administration API for these tokens
      | token     | team      | scopes              | services |
      | fleet     | operators | read, edit, operate |          |
      | viewer    | operators | read                |          |
      | monitor   | operators | metrics             |          |
      | north     | north     | read, edit, operate | logging  |
      | editor    | north     | read, edit          | logging  |
      | south     | south     | read, edit, operate | booking  |
      | gauges    | south     | read, metrics       | booking  |
      | dayshift  | operators | read, edit, operate | booking  |

  Scenario Outline: A token permits its scopes and the rows of its team
    When "<token>" calls "<method>" "<path>" with <body>
    Then the answer has status <status> and code "<code>"

    Examples:
      | token    | method | path                                | body                         | status | code         |
      | nobody   | GET    | /v1/table                           | null                         | 401    | unauthorized |
      | viewer   | GET    | /v1/table                           | null                         | 200    |              |
      | viewer   | PUT    | /v1/table/services/logging/weight   | {"value": 2}                 | 403    | forbidden    |
      | viewer   | POST   | /v1/domains/oviedo/out              | null                         | 403    | forbidden    |
      | fleet    | POST   | /v1/domains/oviedo/out              | null                         | 200    |              |
      | north    | GET    | /v1/table/services/logging          | null                         | 200    |              |
      | north    | GET    | /v1/table/services/booking          | null                         | 404    | not_found    |
      | north    | GET    | /v1/table/servers/book-1/slots      | null                         | 404    | not_found    |
      | north    | GET    | /v1/table/tenants/archive           | null                         | 404    | not_found    |
      | north    | GET    | /v1/table/domains/oviedo            | null                         | 200    |              |
      | north    | GET    | /v1/capacity/servers/book-1         | null                         | 404    | not_found    |
      | north    | PUT    | /v1/table/services/logging/queue    | {"value": 8}                 | 200    |              |
      | north    | PUT    | /v1/table/services/logging/weight   | {"value": 8}                 | 403    | forbidden    |
      | north    | PUT    | /v1/table/tenants/museum/weight     | {"value": 8}                 | 403    | forbidden    |
      | north    | PUT    | /v1/table/tenants/museum/team       | {"value": "south"}           | 403    | forbidden    |
      | north    | PUT    | /v1/table/servers/log-1/service     | {"value": "booking"}         | 403    | forbidden    |
      | north    | PUT    | /v1/table/domains/oviedo/weight     | {"value": 2}                 | 403    | forbidden    |
      | north    | PUT    | /v1/table/servers/book-1/slots      | {"value": 1}                 | 404    | not_found    |
      | north    | DELETE | /v1/table/servers/book-1            | null                         | 404    | not_found    |
      | north    | DELETE | /v1/table/servers/log-1             | null                         | 200    |              |
      | north    | DELETE | /v1/table/services/logging          | null                         | 403    | forbidden    |
      | north    | PUT    | /v1/table/tenants/new               | {"team": "north"}            | 403    | forbidden    |
      | north    | PUT    | /v1/table/servers/book-1            | {"service": "logging", "failure_domain": "oviedo", "addresses": "10.0.9.1:1"} | 409 | edit_conflict |
      | north    | PUT    | /v1/table/servers/log-9             | {"service": "booking", "failure_domain": "oviedo", "addresses": "10.0.9.1:1"} | 403 | forbidden |
      | north    | PUT    | /v1/table/servers/log-9             | {"service": "logging", "failure_domain": "oviedo", "addresses": "10.0.9.1:1"} | 201 |           |
      | north    | POST   | /v1/servers/log-1/out               | null                         | 200    |              |
      | north    | POST   | /v1/servers/book-1/out              | null                         | 404    | not_found    |
      | north    | POST   | /v1/domains/oviedo/out              | null                         | 403    | forbidden    |
      | north    | POST   | /v1/instances/entry-1/out           | null                         | 403    | forbidden    |
      | north    | POST   | /v1/instances/entry-1/confirm-stopped | null                       | 403    | forbidden    |
      | north    | GET    | /metrics                            | null                         | 403    | forbidden    |
      | gauges   | GET    | /metrics                            | null                         | 403    | forbidden    |
      | fleet    | GET    | /metrics                            | null                         | 403    | forbidden    |
      | nobody   | GET    | /metrics                            | null                         | 401    | unauthorized |
      | monitor  | GET    | /metrics                            | null                         | 200    |              |
      | monitor  | GET    | /v1/table                           | null                         | 403    | forbidden    |
      | monitor  | GET    | /v1/status                          | null                         | 403    | forbidden    |
      | editor   | PUT    | /v1/table/servers/log-1/state       | {"value": "out"}             | 403    | forbidden    |
      | editor   | DELETE | /v1/table/servers/log-1             | null                         | 403    | forbidden    |
      | editor   | POST   | /v1/import/servers?remove_missing=true | "name,slots\nlog-1,4\n"   | 403    | forbidden    |
      | editor   | PUT    | /v1/table/servers/log-9             | {"service": "logging", "failure_domain": "oviedo", "addresses": "10.0.9.1:1"} | 201 | |
      | editor   | POST   | /v1/import/servers                  | "name,state\nlog-1,out\n"    | 403    | forbidden    |
      | north    | POST   | /v1/import/servers                  | "name,slots\nbook-1,4\n"     | 400    | bad_table    |
      | north    | POST   | /v1/import/servers                  | "name,slots\nlog-1,4\n"      | 200    |              |
      | south    | PUT    | /v1/table/tenants/museum/max_in_flight | {"value": 1}              | 404    | not_found    |
      | dayshift | PUT    | /v1/table/services/logging/queue    | {"value": 8}                 | 404    | not_found    |
      | dayshift | POST   | /v1/domains/oviedo/out              | null                         | 403    | forbidden    |

  Scenario: A team's answers name no row of another team
    Given "fleet" has called "PUT" "/v1/table/servers/book-1/slots" with {"value": 3}
    When "north" reads everything that it may read
    Then no answer contains "book"
    And no answer contains "archive"
    But an answer contains "log-1"

  Scenario: An error about a duplicate address does not name the other team's row
    When "north" calls "PUT" "/v1/table/servers/log-1/addresses" with {"value": "10.0.2.1:9000"}
    Then the answer has status 400 and code "bad_table"
    And no answer contains "book"

  Scenario: Neither the log nor an answer contains a token
    When "fleet" calls "PUT" "/v1/table/services/logging/queue" with {"value": 8}
    And "nobody" calls "GET" "/v1/table" with null
    Then neither the log nor an answer contains a token

  Scenario Outline: The API does not start with an invalid token file
    When the token file holds "<text>"
    Then the API fails to start with "bad_settings" that says "<reason>"

    Examples:
      | text                   | reason              |
      | short                  | at least 16         |
      | two words of a token   | at least 16         |
      | fleet-token-0123456789 | the same token      |
      | <missing>              | No such file        |

  Scenario: A changed token file is reloaded while the instance runs
    When the token file of "viewer" gets a new token and 1.5 s pass
    Then "viewer" is refused with its old token and admitted with its new one
    And "fleet" is admitted with its token

  Scenario Outline: The old token of a file that becomes invalid stays valid, with one log line
    When the token file of "viewer" holds "<text>" and that of "editor" a new token, and 5 s pass
    Then "viewer" is admitted with its token
    And the log names the file of "viewer" once and says "<reason>"
    And "editor" is admitted only with its <other> token
    When the token file of "viewer" gets a new token and 1.5 s pass
    Then "viewer" is refused with its old token and admitted with its new one
    And "editor" is refused with its old token and admitted with its new one

    # If two files hold the same token, it is unknown which one is wrong, so both changes are refused.
    Examples:
      | text                   | reason              | other |
      | short                  | at least 16         | new   |
      | two words of a token   | at least 16         | new   |
      | fleet-token-0123456789 | the same token      | old   |
      | <missing>              | No such file        | new   |

  Scenario: If-Match names the revision that the edit needs
    When "fleet" calls "GET" "/v1/table" with null
    Then the answer has the entity tag "7"
    When with If-Match "6" "fleet" sends "PUT" "/v1/table/services/logging/queue" with {"value": 8}
    Then the answer has status 412 and code "precondition_failed"
    When with If-Match "7" "fleet" sends "PUT" "/v1/table/services/logging/queue" with {"value": 8}
    Then the answer has the entity tag "8"
    And the stored cell "services" "logging" "queue" is 8

  Scenario: If-Match is checked again when another edit is stored first
    Given another operator writes "services" "booking" "queue" as 5 during the next edit
    When with If-Match "7" "fleet" sends "PUT" "/v1/table/services/logging/queue" with {"value": 8}
    Then the answer has status 412 and code "precondition_failed"
    And the stored cell "services" "logging" "queue" is 16

  Scenario: Concurrent edits of different cells are both applied
    Given another operator writes "services" "logging" "timeout_ms" as 900 during the next edit
    When "fleet" calls "PUT" "/v1/table/services/logging/queue" with {"value": 8}
    Then the answer has status 200 and code ""
    And the stored cell "services" "logging" "queue" is 8
    And the stored cell "services" "logging" "timeout_ms" is 900

  Scenario: The refusal of a concurrent edit of the same cell names the other edit's value
    Given another operator writes "services" "logging" "queue" as 5 during the next edit
    When "fleet" calls "PUT" "/v1/table/services/logging/queue" with {"value": 8}
    Then the answer has status 409 and code "edit_conflict"
    And the answer says "operators/anna (revision 8) wrote 5; you saw 16 and wrote 8"
    And the stored cell "services" "logging" "queue" is 5

  Scenario: Edits apply to the stored table although this instance has an older one
    Given at another instance an operator wrote "domains" "oviedo" "state" as "out" already
    When "fleet" calls "PUT" "/v1/table/domains/oviedo/state" with {"value": "out"}
    Then the answer has status 200 and code ""
    When "fleet" calls "POST" "/v1/domains/oviedo/in" with null
    Then the stored cell "domains" "oviedo" "state" is "in"

  Scenario: An edit is refused if the cell no longer has the value that the author saw
    When "fleet" calls "PUT" "/v1/table/services/logging/queue" with {"value": 8, "before": 12}
    Then the answer has status 409 and code "edit_conflict"

  Scenario: An import does not revert edits that others made after the export
    Given "fleet" has exported "services"
    And "north" has called "PUT" "/v1/table/services/logging/queue" with {"value": 5}
    When "fleet" imports the export with "coverage" replaced by "tail"
    Then the answer has status 200 and code ""
    And the stored cell "services" "booking" "policy" is "tail"
    And the stored cell "services" "logging" "queue" is 5

  Scenario: An import that changes a cell that another operator changed is refused
    Given "fleet" has exported "services"
    And "north" has called "PUT" "/v1/table/services/logging/queue" with {"value": 5}
    When "fleet" imports the export with "logging,tail,1000,100,0.9,1000,16" replaced by "logging,tail,1000,100,0.9,1000,17"
    Then the answer has status 409 and code "edit_conflict"
    And the answer says "north (revision 8) wrote 5"

  Scenario: A dry run of an import writes nothing
    When "fleet" calls "POST" "/v1/import/services?dry_run=true" with "name,queue\nlogging,3\n"
    Then the answer has status 200 and code ""
    And the answer says "services/logging/queue: 16 to 3"
    And the stored cell "services" "logging" "queue" is 16

  Scenario: The history contains the author, time, values and reason of a change
    Given "north" has called "PUT" "/v1/table/services/logging/queue?note=slow%20disks" with {"value": 5}
    When "fleet" calls "GET" "/v1/history?limit=1" with null
    Then the answer says "north"
    And the answer says "slow disks"
    And the answer says "1700000000"
    And the answer has the JSON "before":16,"after":5

  Scenario: Taking a domain out of service reports the remaining capacity
    Given a catalog of "logging" with shard "b" only on "log-1/1"
    When "fleet" calls "POST" "/v1/domains/oviedo/out" with null
    Then the answer says "shard b of snapshot s1 loses its last replica"
    And the answer has the JSON "before":12,"after":8,"load_factor":1.5

  Scenario: The first edit of an empty store
    Given the store holds no table
    When "fleet" calls "PUT" "/v1/table/domains/oviedo" with {}
    Then the answer has status 201 and code ""
    And the answer has the entity tag "1"

  Scenario: The status contains the revision that is in force on all members
    When "fleet" calls "GET" "/v1/status" with null
    Then the answer has the JSON "in_force_everywhere":6
    And the answer has the JSON "departed":["entry-3"]

  Scenario: A status source that awaits other instances
    Given the status is gathered by an asynchronous call
    When "fleet" calls "GET" "/v1/status" with null
    Then the answer has the JSON "in_force_everywhere":6

  Scenario: An operator confirms that an instance has stopped
    When "fleet" calls "POST" "/v1/instances/entry-3/confirm-stopped" with null
    Then the members task has been told that "entry-3" stopped

  Scenario: An unexpected error hides its cause from callers and writes it to the log
    Given the store raises an unexpected error
    When "fleet" calls "PUT" "/v1/table/services/logging/queue" with {"value": 8}
    Then the answer has status 500 and code "internal"
    And no answer contains "disk on fire"
    And the log contains "disk on fire"

  Scenario: The refusal of a method names the methods that the path allows
    When "fleet" calls "DELETE" "/v1/table/services/logging/queue" with null
    Then the answer has status 405 and code "method_not_allowed"
    And the answer has the header "allow" with "GET, PUT"

  Scenario: Revisions that instances report before they join the view are recorded
    Given a documents task that knows no members yet
    When "entry-2" reports table revision 5 and "entry-3" reports table revision 6
    Then the reported table revisions are 5 and 6
    And the number of kept reports stays limited after those of 1000 further instances

  Scenario: Random edits of two operators over an unreliable store
    Then in 200 random races over two instances each answer is right about whether the edit was applied
