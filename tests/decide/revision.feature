Feature: Revisions of documents
  Guards against a return to an older configuration, and against peers that miss a revision.

  Scenario: Only a higher revision replaces a document
    When documents arrive in any order, repeated, in 300 random ways
    Then the highest revision is in force and it never fell

  Scenario: A digest entry is repeated until the peer has acknowledged it
    When heartbeats with digests are lost in 300 random ways
    Then each peer that acknowledged after the last change knows all revisions

  Scenario: A steady state sends no digest entries
    Given a peer that acknowledged all entries
    Then the next heartbeat has no entries
    And the whole digest is sent again after 30 s

  Scenario Outline: An unanswered write is judged by what the store has now
    When revision 8 was written against version <expected> and the store has version <version> with <content>
    Then the write is <outcome>

    Examples:
      | expected | version | content          | outcome |
      | 3        | 4       | the same value   | applied |
      | 3        | 3       | the old value    | pending |
      | 0        | 0       | nothing          | pending |
      | 3        | 4       | another value    | lost    |
      | 3        | 5       | another value    | lost    |

  Scenario Outline: An instance is ready with a table that it has checked
    When an instance with <table> reaches the peers "<reached>", compared digests with "<compared>" and <store>
    Then it is <verdict>

    Examples:
      | table    | reached | compared | store              | verdict   |
      | no table | a b     | a b      | read the store     | not ready |
      | a table  | a b     | -        | read the store     | ready     |
      | a table  | a b     | a b      | not read the store | ready     |
      | a table  | a b     | a        | not read the store | not ready |
      | a table  | -       | -        | not read the store | not ready |

  Scenario Outline: A store that may return old data does not make a member ready by itself
    When an instance with other members has read the store, <waited> s ago got a view and <compared>
    Then it is <verdict>

    Examples:
      | waited | compared                 | verdict   |
      | 1      | compared with nobody     | not ready |
      | 1      | compared with one peer   | ready     |
      | 3      | compared with nobody     | ready     |
