@alone
Feature: Crowds of hostile clients
  Guards against an instance that exceeds its memory or its descriptors, ends, or answers no ordinary
  caller, because of what a crowd of clients sends or leaves unsent. The instance runs as in
  production, with limits.memory_mb = 64 (96 for `rattanrelay serve`) and limits.max_fds = 512, of which 200 are for
  files. Memory
  is what is resident and what the kernel holds unread and unsent. The crowd's connections are open
  to the end, unless it says that they leave.

  Scenario Outline: <size> clients send <flood>
    Given an instance with small limits
    When <size> connections to its listener for clients send "<flood>"
    Then the instance runs, within its memory and descriptors
    And an ordinary request and a readiness check are answered with 200

    Examples:
      | size | flood                                                              |
      | 200  | a body that stops one byte short                                   |
      | 200  | a body that stops one byte short, piece by piece                   |
      | 200  | one large chunk that stops short                                   |
      | 200  | 40,000 chunks of one byte and no end                               |
      | 200  | chunks of one byte with extensions of 15,000 bytes and no end      |
      | 200  | headers just under the limit and a body that stops one byte short  |
      | 200  | headers just under the limit and no end                            |
      | 200  | pipelined requests behind a slow one                               |
      | 200  | Expect: 100-continue and silence                                   |
      | 200  | requests whose responses nobody reads                              |
      | 400  | no byte                                                            |
      | 200  | 20 pipelined requests whose responses nobody reads                 |
      | 200  | requests to 24 shards whose responses nobody reads                 |
      | 200  | a complete body to one searcher                                    |
      | 200  | a complete body in chunks to one searcher                          |
      | 200  | a complete body to 24 shards                                       |
      | 200  | pipelined complete bodies to 24 shards                             |
      | 200  | a complete body to a searcher that reads slowly                    |
      | 200  | a complete body to 24 shards that read slowly                      |
      | 200  | pipelined bodies of 15,000 bytes to 24 shards that read slowly     |

  Scenario Outline: <size> clients send <flood> and leave, ten times
    Given an instance with small limits
    When <size> clients send "<flood>" and leave, 10 times
    Then the instance runs, within its memory and descriptors
    And an ordinary request and a readiness check are answered with 200

    Examples:
      | size | flood                                                                    |
      | 100  | a body that stops one byte short                                         |
      | 100  | a complete body to one searcher                                          |
      | 100  | a complete body to a searcher that reads slowly                          |
      | 100  | a complete body that must not be repeated to a searcher that reads slowly |
      | 100  | a complete body to 24 shards that read slowly                            |

  Scenario Outline: <size> connections to the listener for <listener> send <flood> and leave, ten times
    Given an instance with small limits
    When <size> connections to its listener for <listener> send "<flood>" and leave, 10 times
    Then the instance runs, within its memory and descriptors
    And an ordinary request and a readiness check are answered with 200

    Examples:
      | size | listener        | flood                            |
      | 100  | readiness       | a body that stops one byte short |
      | 100  | other instances | a frame of 8 MB that stops short |

  Scenario Outline: <size> clients of `rattanrelay serve` send <flood> and leave, ten times
    Given an instance of `rattanrelay serve` with small limits
    When <size> clients send "<flood>" and leave, 10 times
    Then the instance runs, within its memory and descriptors
    And an ordinary request and a readiness check are answered with 200

    Examples:
      | size | flood                             |
      | 100  | a query that stops one byte short |
      | 100  | a complete query                  |

  Scenario Outline: <size> clients send <flood>, for which other instances gather
    Given 3 instances with small limits
    When <size> connections to its listener for clients send "<flood>"
    Then all instances run, within their memory and descriptors
    And an ordinary request and a readiness check of each are answered with 200

    Examples:
      | size | flood                                                          |
      | 200  | a complete body to 24 shards                                   |
      | 200  | pipelined complete bodies to 24 shards                         |
      | 200  | a complete body to 24 shards that read slowly                  |
      | 200  | pipelined bodies of 15,000 bytes to 24 shards that read slowly |

  Scenario: 100 clients send bodies to 24 shards for which suspended instances gather, and leave
    Given 3 instances with small limits
    And the others are suspended
    When 100 clients send "a complete body to 24 shards" and leave, 5 times
    And the others are resumed
    Then all instances run, within their memory and descriptors
    And an ordinary request and a readiness check of each are answered with 200

  Scenario Outline: <size> clients with addresses of their own send <flood>
    Given an instance with small limits
    When <size> clients with addresses of their own send "<flood>"
    Then the instance runs, within its memory and descriptors
    And an ordinary request and a readiness check are answered with 200

    Examples:
      | size | flood                                                  |
      | 200  | a body that stops one byte short                       |
      | 200  | one large chunk that stops short                       |
      | 200  | 40,000 chunks of one byte and no end                   |
      | 200  | a complete body to 24 shards that read slowly          |
      | 200  | 20 pipelined requests whose responses nobody reads     |

  Scenario Outline: <size> clients of `rattanrelay serve` send <flood>
    Given an instance of `rattanrelay serve` with small limits
    When <size> connections to its listener for clients send "<flood>"
    Then the instance runs, within its memory and descriptors
    And an ordinary request and a readiness check are answered with 200

    Examples:
      | size | flood                                           |
      | 200  | a query that stops one byte short               |
      | 200  | a query in one chunk that stops short           |
      | 200  | a query in 40,000 chunks of one byte and no end |
      | 200  | headers just under the limit and no end         |
      | 200  | a complete query                                |
      | 200  | queries whose responses nobody reads            |
      | 400  | no byte                                         |

  Scenario Outline: A single body of the largest size to <route> is served by <count> instances
    Given <count> instances with small limits
    When one client sends a body of the largest size to <route>
    Then it is answered with 200

    Examples:
      | count | route |
      | 1     | box   |
      | 1     | all   |
      | 3     | all   |

  Scenario Outline: <size> connections to the listener for <listener> send <flood>
    Given an instance with small limits
    When <size> connections to its listener for <listener> send "<flood>"
    Then the instance runs, within its memory and descriptors
    And an ordinary request and a readiness check are answered with 200

    Examples:
      | size | listener        | flood                                                         |
      | 200  | readiness       | a body that stops one byte short                              |
      | 200  | readiness       | 40,000 chunks of one byte and no end                          |
      | 200  | readiness       | headers just under the limit and no end                       |
      | 400  | readiness       | no byte                                                       |
      | 200  | metrics         | one large chunk that stops short                              |
      | 200  | metrics         | chunks of one byte with extensions of 15,000 bytes and no end |
      | 200  | metrics         | requests whose responses nobody reads                         |
      | 400  | metrics         | no byte                                                       |
      | 200  | other instances | bytes that are no frame                                       |
      | 200  | other instances | a frame header with a length of 4 GB                          |
      | 200  | other instances | a frame of 8 MB that stops short                              |
      | 400  | other instances | no byte                                                       |
