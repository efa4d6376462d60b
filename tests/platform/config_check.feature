Feature: A configuration is checked before it is written
  Guards against a check that accepts what an instance does not load, that misses an entry without
  effect, or that shows a key.

  Scenario: A configuration without faults has no findings
    When a configuration with nothing changed is checked
    Then there are no findings and the exit status is 0

  Scenario Outline: <change> is reported
    When a configuration with <change> is checked
    Then it reports the <severity> <code> at <entry>, with exit status <status>

    Examples: What an instance does not load
      | change                            | severity | code                  | entry           | status |
      | no routes                         | error    | not_loaded            | document        | 2      |
      | bytes that are no JSON            | error    | not_loaded            | document        | 2      |
      | a timeout that is text            | error    | not_loaded            | document        | 2      |
      | a tenant without a name           | error    | not_loaded            | document        | 2      |
      | a version of 10^30                | error    | not_loaded            | document        | 2      |
      | an older version                  | error    | version_not_above     | version         | 2      |

    Examples: Entries that never match
      | change                            | severity | code                  | entry           | status |
      | a second route like the first     | warning  | route_hidden          | routes/twin     | 1      |
      | a prefix without a slash          | warning  | route_never_matches   | routes/one      | 1      |
      | a host with a port                | warning  | route_never_matches   | routes/one      | 1      |
      | a split with weight 0             | warning  | split_weight          | routes/divided  | 1      |
      | a split with weights 0 only       | warning  | split_weight          | routes/divided  | 1      |
      | a split beside a service          | warning  | route_service_ignored | routes/divided  | 1      |
      | a service that nothing names      | warning  | service_unused        | services/extra  | 1      |
      | a service that is not listed      | warning  | service_not_listed    | services/absent | 1      |
      | a key that two workspaces hold    | warning  | key_shared            | workspaces/w1   | 1      |
      | a key that no header can carry    | warning  | key_unusable          | workspaces/w2   | 1      |
      | a workspace without keys          | warning  | workspace             | workspaces/w2   | 1      |
      | a route without a service         | warning  | route_without_service | routes/one      | 1      |
      | two routes of one name            | warning  | route_name_repeated   | routes/one      | 1      |
      | an unknown route type             | warning  | route_type_unknown    | routes/one      | 1      |
      | a shard named twice               | warning  | gather                | routes/all      | 1      |

    Examples: Limits that contradict each other
      | change                            | severity | code                  | entry           | status |
      | a target above the timeout        | warning  | route_limits          | routes/one      | 1      |
      | more attempts than searchers      | warning  | route_limits          | routes/one      | 1      |
      | no attempts                       | warning  | route_limits          | routes/one      | 1      |
      | a burst without a rate            | warning  | workspace             | workspaces/w2   | 1      |
      | a body limit of 0                 | warning  | client_limits         | limits          | 1      |

  Scenario: What differs from the version in force is listed, with digests of keys
    When a configuration with another timeout, service and key is checked against the one in force
    Then it lists these differences and no key, as text and as JSON

  Scenario: The check accepts what instances load, and names what they reject
    When 400 generated configurations are checked
    Then an error is reported for exactly those that an instance does not load
    And no finding or difference contains a key
