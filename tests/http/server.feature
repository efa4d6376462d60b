Feature: HTTP server and client
  Guards against one client that hurts others, against cut answers at a stop, and against a client
  that calls an answer of unknown effect "not run".

  Scenario Outline: A faulty request gets a 4xx that says not_run, and others are served
    Given an HTTP server with small limits
    When a client sends <request>
    Then it gets status <status> and code "<code>", and another client is served meanwhile

    Examples:
      | request            | status | code              |
      | garbage            | 400    | bad_request       |
      | a huge header      | 431    | headers_too_large |
      | a huge body        | 413    | body_too_large    |
      | half a request     | 408    | request_timeout   |

  Scenario: A stop ends idle connections and finishes the request under way
    Given an HTTP server with small limits
    When it is stopped while one connection is idle and one request is under way
    Then the request is answered, both connections end and no new one is accepted

  Scenario Outline: What the client knows when a connection breaks
    Given a backend that <fault>
    When the client sends a request
    Then the error is "<code>" with ran "<ran>"

    Examples:
      | fault                              | code            | ran     |
      | does not listen                    | connect_failed  | not_run |
      | closes after the request           | connection_lost | unknown |
      | closes in the middle of its answer | connection_lost | unknown |
      | answers with garbage               | connection_lost | unknown |

  Scenario: A caller listener with TLS
    Given a certificate for 127.0.0.1
    When a request is sent to an HTTP server over TLS
    Then it is answered, and a client without trust in the certificate is refused
