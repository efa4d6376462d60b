Feature: The callers' HTTP interface
  Guards against input that reaches backend servers without validation, against wrong outcomes and
  against tracebacks in answers.

  Scenario Outline: Requests that are not allowed are refused with their code
    When a caller sends <method> <path> with headers <headers> and body <body>
    Then the refusal is <status> "<code>" with outcome "not_run"
    And nothing was sent to an owner or coordinator

    Examples:
      | method | path                     | headers                                  | body           | status | code               |
      | GET    | /v1/services/log/query   | x-tenant=hog                             | {"filter":{}}  | 405    | method_not_allowed |
      | POST   | /v1/services/log/other   | x-tenant=hog                             | {"filter":{}}  | 404    | not_found          |
      | POST   | /v1/services/a%2Fb/query | x-tenant=hog                             | {"filter":{}}  | 404    | not_found          |
      | POST   | /v1/services/none/query  | x-tenant=hog                             | {"filter":{}}  | 404    | unknown_service    |
      | POST   | //[/query                | x-tenant=hog                             | {"filter":{}}  | 400    | bad_request        |
      | POST   | /readyz                  | x-tenant=hog                             | {"filter":{}}  | 405    | method_not_allowed |
      | GET    | /metrics                 | none                                     | {}             | 404    | not_found          |
      | POST   | /v1/services/log/query   | none                                     | {"filter":{}}  | 400    | bad_header         |
      | POST   | /v1/services/log/query   | x-tenant=a/b                             | {"filter":{}}  | 400    | bad_header         |
      | POST   | /v1/services/log/query   | x-tenant=else                            | {"filter":{}}  | 403    | unknown_tenant     |
      | POST   | /v1/services/log/query   | x-tenant=hog,x-timeout-ms=-5             | {"filter":{}}  | 400    | bad_header         |
      | POST   | /v1/services/log/query   | x-tenant=hog,x-timeout-ms=0              | {"filter":{}}  | 400    | deadline_passed    |
      | POST   | /v1/services/log/query   | x-tenant=hog,x-request-id=<>             | {"filter":{}}  | 400    | bad_header         |
      | POST   | /v1/services/log/query   | x-tenant=hog,x-class=a b                 | {"filter":{}}  | 400    | bad_header         |
      | POST   | /v1/services/log/query   | x-tenant=hog                             | {"filter":[]}  | 400    | bad_body           |
      | POST   | /v1/services/log/query   | x-tenant=hog                             | {"filter":{}   | 400    | bad_body           |
      | POST   | /v1/services/log/query   | x-tenant=hog                             | {"limit":5}    | 400    | bad_body           |
      | POST   | /v1/services/log/query   | x-tenant=hog                             | many hits      | 400    | bad_body           |
      | POST   | /v1/services/log/query   | x-tenant=hog                             | deep           | 400    | bad_body           |
      | POST   | /v1/services/log/actions | x-tenant=hog                             | action         | 400    | missing_key        |
      | POST   | /v1/services/log/actions | x-tenant=hog,idempotency-key=x           | action         | 400    | bad_key            |
      | POST   | /v1/services/log/actions | x-tenant=hog,idempotency-key=version 4   | action         | 400    | bad_key            |
      | POST   | /v1/services/log/actions | x-tenant=hog,idempotency-key=braces      | action         | 400    | bad_key            |
      | POST   | /v1/services/log/actions | x-tenant=else,idempotency-key=version 7  | action         | 403    | unknown_tenant     |
      | POST   | /v1/services/log/actions | x-tenant=hog,idempotency-key=version 7   | {"route":"r"}  | 400    | bad_body           |

  Scenario: Random requests never cause an internal error
    When 3000 random requests are sent
    Then each answer has a registered code or is a success, and none is internal

  Scenario: An internal error reveals nothing about the code
    When the entry fails with a bug
    Then the answer is 500 "internal" with outcome "unknown" and no traceback

  Scenario: A request id is echoed or generated
    When queries are sent with and without a request id
    Then the answers carry the given id or a new one in body and header

  Scenario: A stopping instance is not ready and still serves its open connections
    When the instance stops between two queries
    Then readiness is 503, and the second query is answered on a connection that then closes

  Scenario: An action goes to the coordinator with its key
    When an action is sent with a key
    Then the coordinator gets it once, and the answer is done with its result

  Scenario Outline: The result of a non-idempotent request gets the status of its code
    When the coordinator answers an action with "<code>" and outcome "<outcome>"
    Then the status is <status> with that code and outcome

    Examples: codes of this version
      | code             | outcome | status |
      | key_reused       | not_run | 409    |
      | request_blocked  | not_run | 422    |
      | outcome_unknown  | unknown | 504    |
      | no_owner         | not_run | 503    |

    Examples: codes whose status states that the request has not run
      | code             | outcome | status |
      | overloaded       | not_run | 429    |
      | overloaded       | unknown | 504    |
      | no_owner         | unknown | 504    |
      | peer_unavailable | unknown | 504    |
      | shedding         | done    | 502    |
      | key_reused       | unknown | 409    |

    Examples: codes of a later version on another instance
      | code             | outcome | status |
      | a_later_code     | not_run | 503    |
      | a_later_code     | unknown | 504    |
      | a_later_code     | done    | 502    |

  Scenario: Only the metrics of the administration interface have the admission limits
    When the report of the instance refreshes the metrics after a query
    Then the metrics have the admission limit of the service

  Scenario: Latency is kept by service, tenant and class, and classes are bounded
    When queries of 40 classes are sent
    Then the metrics have the latency of at most 17 classes
