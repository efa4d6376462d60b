Feature: The OpenAPI file describes the running administration API
  Guards against a description whose paths, statuses or fields differ from those of the API.

  Background:
    Given an administration API for these tokens
      | token     | team      | scopes                       | services |
      | fleet     | operators | read, edit, operate, metrics |          |
      | viewer    | operators | read                         |          |
      | north     | north     | read, edit, operate          | logging  |
      | gauges    | north     | metrics                      | logging  |
      | writer    | operators | edit, operate                |          |

  Scenario: Paths and methods match the registered ones
    Then the file lists exactly the registered paths and methods

  Scenario: Row schemas match the columns of the table
    Then each row schema has the types, ranges and choices of its columns

  Scenario: Each documented status occurs, and each answer matches its schema
    When these calls are made, each to a fresh API
      | method | path                                  | body                                    | status | other  |
      | GET    | /v1/openapi.json                      | null                                    | 200    |        |
      | GET    | /metrics                              | null                                    | 200    |        |
      | GET    | /v1/table                             | null                                    | 200    |        |
      | GET    | /v1/columns                           | null                                    | 200    |        |
      | GET    | /v1/table/servers                     | null                                    | 200    |        |
      | GET    | /v1/table/nothing                     | null                                    | 404    |        |
      | GET    | /v1/table/servers/log-1               | null                                    | 200    |        |
      | GET    | /v1/table/servers/nothing             | null                                    | 404    |        |
      | PUT    | /v1/table/domains/leon                | {"weight": 2}                           | 201    | add    |
      | PUT    | /v1/table/domains/leonardo            | {"weight": 2}                           | 200    | remove |
      | PUT    | /v1/table/domains/leonardo            | {"height": 2}                           | 400    |        |
      | PUT    | /v1/table/nothing/oviedo              | {"weight": 2}                           | 404    |        |
      | PATCH  | /v1/table/domains/leonardo            | {"cells": {"weight": 2}}                | 200    | remove |
      | PATCH  | /v1/table/domains/leonardo            | {"cells": {}}                           | 400    |        |
      | PATCH  | /v1/table/domains/nothing             | {"cells": {"weight": 2}}                | 404    |        |
      | DELETE | /v1/table/tenants/museum              | null                                    | 200    | touch  |
      | DELETE | /v1/table/services/logging            | null                                    | 400    |        |
      | DELETE | /v1/table/tenants/nothing             | null                                    | 404    |        |
      | GET    | /v1/table/servers/log-1/connect_ms    | null                                    | 200    |        |
      | GET    | /v1/table/servers/log-1/height        | null                                    | 400    |        |
      | GET    | /v1/table/servers/nothing/slots       | null                                    | 404    |        |
      | PUT    | /v1/table/servers/log-1/slots         | {"value": 3}                            | 200    | remove |
      | PUT    | /v1/table/servers/log-1/slots         | {"value": "many"}                       | 400    |        |
      | PUT    | /v1/table/servers/log-1/slots         | {"val": 3}                              | 400    |        |
      | PUT    | /v1/table/servers/log-1/name          | {"value": "log-9"}                      | 400    |        |
      | PUT    | /v1/table/servers/nothing/slots       | {"value": 3}                            | 404    |        |
      | GET    | /v1/export/servers                    | null                                    | 200    |        |
      | GET    | /v1/export/nothing                    | null                                    | 404    |        |
      | POST   | /v1/import/tenants                    | "name,weight\nmuseum,2\n"               | 200    | remove |
      | POST   | /v1/import/tenants                    | "name,weight\nmuseum,x\n"               | 400    |        |
      | POST   | /v1/import/tenants?dry_run=maybe      | "name\n"                                | 400    |        |
      | POST   | /v1/import/tenants                    | "#rattanrelay,tenants,3\nname\n"        | 412    |        |
      | POST   | /v1/import/nothing                    | "name\n"                                | 404    |        |
      | GET    | /v1/history                           | null                                    | 200    |        |
      | GET    | /v1/history?limit=0                   | null                                    | 400    |        |
      | POST   | /v1/servers/log-1/out                 | null                                    | 200    | remove |
      | POST   | /v1/tenants/museum/out                | null                                    | 400    |        |
      | POST   | /v1/servers/nothing/out               | null                                    | 404    |        |
      | POST   | /v1/servers/log-1/in                  | null                                    | 200    | remove |
      | POST   | /v1/tenants/museum/in                 | null                                    | 400    |        |
      | POST   | /v1/servers/nothing/in                | null                                    | 404    |        |
      | GET    | /v1/capacity/domains/oviedo           | null                                    | 200    |        |
      | GET    | /v1/capacity/tenants/museum           | null                                    | 400    |        |
      | GET    | /v1/capacity/domains/nothing          | null                                    | 404    |        |
      | GET    | /v1/members                           | null                                    | 200    |        |
      | POST   | /v1/instances/entry-3/confirm-stopped | null                                    | 200    |        |
      | POST   | /v1/instances/entry-1/confirm-stopped | null                                    | 400    |        |
      | GET    | /v1/status                            | null                                    | 200    |        |
    And each successful call is made without token, without scope, with old ETags and with failures
    Then each answer matches the file and each documented status occurred
