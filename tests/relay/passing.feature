Feature: A request is sent to one searcher of its service
  Guards against responses that are not the searcher's, non-idempotent requests that run twice, and
  refusals of requests that have run.

  Scenario: Method, path, query, body and response are relayed unchanged
    Given a service with 2 good searchers
    When a client posts a body
    Then the searcher got the same method, path, query, body and request id
    And the client gets the searcher's status, body and signature

  Scenario: The searcher gets the client's remaining time
    Given a service with 2 good searchers
    When a client asks with a deadline of 600 ms
    Then the searcher's deadline is at most 600 ms and at least 500 ms

  Scenario: A request without a route is not found
    Given a service with 2 good searchers
    When a client asks for an unknown path
    Then it gets status 404 and no searcher ran it

  Scenario: A shed request goes to another searcher
    Given a service with 2 searchers of which one sheds
    When a client asks 10 times
    Then it gets status 200 each time and each request ran once

  Scenario: A non-idempotent request that may have run is not sent again
    Given a service with 2 searchers of which both reset after they ran a request
    When a client asks once with a non-idempotent request
    Then it gets status 502 and the request ran once

  Scenario: An idempotent request that may have run is sent to another searcher
    Given a service with 2 searchers of which one resets after it ran a request
    When a client asks 10 times
    Then it gets status 200 each time

  Scenario: A request that all searchers shed is refused with a retry time
    Given a service with 2 searchers of which both shed
    When a client asks with a deadline of 300 ms
    Then it gets status 503 with a Retry-After and no searcher ran it

  Scenario: A request without any searcher is refused at once
    Given a service with 2 searchers of which both drain
    When a client asks once
    Then it gets status 503 within 50 ms

  Scenario Outline: An incomplete or unsigned response counts as a failure
    Given a service with 2 searchers of which both <fault>
    When a client asks once with a non-idempotent request
    Then it gets status 502 and the request ran once

    Examples:
      | fault                                |
      | send truncated answers               |
      | send unsigned answers                |
      | send answers with an empty signature |

  Scenario Outline: A response without an end is given up and the request sent elsewhere
    Given a service with 2 searchers, one answering with <part> without an end
    When a client asks 10 times
    Then it gets status 200 each time
    And no endless response got further than <most> KiB

    Examples:
      | part                    | most  |
      | headers                 | 1024  |
      | informational responses | 1024  |
      | one trailer             | 1024  |
      | chunks of one byte      | 65536 |

  Scenario: A surplus response on a connection is not used for the next request
    Given a service with 2 searchers of which both send extra answers
    When a client asks 10 times
    Then it gets status 200 each time and each response has the request's own signature

  Scenario: A late failure without a request id is not taken for the answer to the next request
    Given a service with 2 searchers of which one sends late failures without an id
    When a client asks 10 times
    Then it gets status 200 each time and each response has the request's own signature

  Scenario: A searcher's failure is relayed with its signature
    Given a service with 2 searchers of which both fail
    When a client asks once
    Then it gets status 500 with the signature of a searcher

  Scenario: Another searcher at the address does not run the request
    Given a service with 2 searchers of which one was replaced at its address
    When a client asks 10 times
    Then it gets status 200 each time and each request ran once

  Scenario: A client's disconnect cancels the request at the searcher
    Given a service with 1 searcher that needs 5 s
    When a client asks and leaves after 100 ms
    Then the searcher's work ends within 500 ms

  Scenario: A route's time limit ends a request
    Given a service with 1 searcher that needs 5 s
    When a client asks with a deadline of 4000 ms on a route with a time limit of 400 ms
    Then it gets status 504 within 420 ms

  Scenario: Split routes follow their weights
    Given two services with weights 3 and 1
    When a client asks 40 times
    Then the first service ran 30 and the second 10

  Scenario: Many non-idempotent requests do not use up the connections
    Given a service with 2 good searchers
    When a client asks 40 times with a non-idempotent request
    Then it gets status 200 each time and each request ran once

  Scenario: Failed connections refund no budget that other requests used
    Given a service with 2 searchers of which both refuse connections
    And 3 extra requests were sent in the last seconds
    When a client asks with a deadline of 300 ms
    Then it gets status 503 with a Retry-After and no searcher ran it
    And the 3 extra requests still count

  Scenario: A cold searcher of a service that states no rate gets requests like the others
    Given a service with 1 cold searcher that states no rate
    When a client asks 20 times
    Then it gets status 200 each time

  Scenario: A cold searcher of a service that states a rate gets no more requests than that
    Given a service with 1 cold searcher that states a rate of 2 a second
    When clients ask 20 times at once
    Then the searcher got 8 requests
