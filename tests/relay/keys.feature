Feature: Callers are known by their keys
  Guards against a key that is passed on to a searcher, a workspace that a caller claims for itself,
  requests that run without a good key, and keys that an instance uses after they were removed.

  Scenario: The searcher gets the name of the workspace in place of the key
    Given a service whose callers need keys
    When a client asks with a good key and names another workspace
    Then it gets status 200
    And the searcher got the workspace of the key, and no key

  Scenario: All searchers of a gathered request get the name of the workspace in place of the key
    Given a service of 4 shards whose callers need keys
    When a client asks with a good key and names another workspace
    Then it gets status 200
    And the searcher got the workspace of the key, and no key

  Scenario Outline: A request without a good key is rejected
    Given a service whose callers need keys
    When a client asks with <key>
    Then it gets status 401
    And no searcher got a request

    Examples:
      | key                             |
      | no key                          |
      | an unknown key                  |
      | two good keys                   |
      | a good key in upper case        |
      | the name of a workspace         |

  Scenario Outline: A public route needs no key
    Given a service whose callers need keys
    When a client asks on a public route with <key>
    Then it gets status 200
    And the searcher got no key, and <workspace>

    Examples:
      | key            | workspace                |
      | no key         | no workspace             |
      | an unknown key | no workspace             |
      | a good key     | the workspace of the key |

  Scenario: Without workspaces in the configuration headers are passed on as before
    Given a service whose callers need no keys
    When a client asks with a good key and names another workspace
    Then it gets status 200
    And the searcher got both headers as the client sent them

  Scenario: A key that a new version removes is rejected, and one that it adds is accepted
    Given a service whose callers need keys
    When a version replaces the key
    Then the old key gets status 401 and the new one 200 within 1 s

  Scenario Outline: Strictly revoked keys end in time on instances that cannot learn of it
    Given 3 instances of a service with strict revocation within 5 s
    When the key is removed while <trouble>
    Then no request that was sent later than 5 s after the removal runs
    And no instance answers 401 to a key that it cannot check

    Examples:
      | trouble                                                    |
      | the store refuses one instance and the others are reached  |
      | the store refuses all instances                            |
      | one instance reaches neither the store nor the others      |
      | the answers of the store to one instance are held up       |

  Scenario: An instance that the store refuses serves keyed requests by the proof of others
    Given 3 instances of a service with strict revocation within 5 s
    When the store refuses one instance for 12 s
    Then all requests with the good key are answered

  Scenario: An instance without any proof refuses keyed requests as not run, and serves them again
    Given 3 instances of a service with strict revocation within 5 s
    When one instance reaches neither the store nor the others for 9 s
    Then its requests are refused with 503 from 4.5 s on
    And they are answered again within 4 s after that
