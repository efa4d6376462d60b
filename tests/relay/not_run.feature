Feature: A response states that a request has not run only if that is true
  Guards against clients that send a request again because a response denies that it has run.

  Scenario Outline: The failure of a searcher that ran a request does not say that it has not run
    Guards against a searcher's own 503, 429, 421 or 408 that is relayed to the client.
    Given a service with 2 searchers that run each request and answer <status> <pause> Retry-After
    When a client asks once with a non-idempotent request
    Then it gets status 502 without a signature and the request ran once

    Examples:
      | status | pause     |
      | 503    | without a |
      | 503    | with a    |
      | 429    | without a |
      | 429    | with a    |
      | 421    | without a |
      | 408    | without a |

  Scenario Outline: An idempotent request that all searchers ran and failed is not denied either
    Given a service with 2 searchers that run each request and answer <status> <pause> Retry-After
    When a client asks once
    Then it gets status 502 without a signature and the request ran at both searchers

    Examples:
      | status | pause     |
      | 503    | without a |
      | 503    | with a    |
      | 429    | with a    |
      | 408    | without a |

  Scenario Outline: An idempotent request that one searcher ran and failed is served by another
    Guards against a 429 or 408 of one searcher that ends a request which others can serve.
    Given a service whose first of 2 searchers runs each request and answers <status>
    When a client asks 10 times
    Then it gets status 200 each time

    Examples:
      | status |
      | 503    |
      | 429    |
      | 408    |

  Scenario: Searchers that answer 421 to requests which they ran serve later ones
    Guards against a service without searchers for good after a moment of such answers.
    Given a service with 2 searchers that run each request and answer 421 without a Retry-After
    When a client asks once, and again when they answer as usual
    Then it gets status 502, and then 200

  Scenario Outline: Other statuses of a searcher are relayed unchanged
    Given a service with 2 searchers that run each request and answer <status> with a Retry-After
    When a client asks once with <kind> request
    Then it gets status <status> with the signature and the Retry-After of a searcher

    Examples:
      | status | kind             |
      | 400    | a non-idempotent |
      | 404    | an idempotent    |
      | 409    | a non-idempotent |
      | 500    | a non-idempotent |
      | 500    | an idempotent    |
      | 502    | a non-idempotent |
      | 504    | an idempotent    |

  Scenario Outline: A gather that fails after some searchers ran it does not say that it has not run
    Guards against a 503 for a gather of which some shards answered while others were refused.
    Given <shards>
    And the searchers of 5 shards shed each request <pause> Retry-After
    When a client gathers at the instance in a
    Then it gets status 502 without a signature, and 15 shards ran the request

    Examples:
      | shards                                                           | pause     |
      | 20 shards with 2 searchers each                                  | without a |
      | 20 shards with 2 searchers each                                  | with a    |
      | 20 shards with searchers in domain b, an instance in a and one in b | without a |
      | 20 shards with searchers in domain b, an instance in a and one in b | with a    |

  Scenario Outline: A gather that no searcher ran is still refused with a Retry-After
    Given <shards>
    And all searchers shed
    When a client gathers at the instance in a
    Then it gets status 503 with a Retry-After and no searcher ran it

    Examples:
      | shards                                                           |
      | 20 shards with 2 searchers each                                  |
      | 20 shards with searchers in domain b, an instance in a and one in b |

  Scenario: A gather whose searchers sign with nothing is not reported as not run
    Guards against a part without a signature that another instance reports as one that nobody ran.
    Given 20 shards with searchers in domain b, an instance in a and one in b
    And all searchers sign their answers with nothing and shed later requests
    When a client gathers at the instance in a
    Then it gets status 502 without a signature, and 20 shards ran the request

  Scenario: A gather that a stop cuts off may have run at other instances
    Guards against a 503 for a gather whose parts only other instances have sent to searchers.
    Given 20 shards with searchers in domain b, an instance in a and one in b
    And all searchers hang
    When the instance in a stops while it gathers
    Then it gets status 502 without a signature, and 20 shards ran the request
    And the instance in a sent no request to a searcher
