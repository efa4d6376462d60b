Feature: Entries and configurations of the store are checked when they are decoded
  Guards against an entry of another writer that ends each instance that reads it, or that is used
  although it names no searcher.

  Scenario Outline: An entry that names no searcher is left out
    Then an entry of a searcher with <what> is unreadable

    Examples:
      | what                                     |
      | a list nested 100,000 deep               |
      | an unknown field nested 100,000 deep     |
      | port 70000                               |
      | port 0                                   |
      | a port of 5,000 digits                   |
      | a port in other digits                   |
      | a port that is a superscript             |
      | an address with a space                  |
      | an address with an empty label           |
      | an address without a port                |
      | a scope with a null character            |
      | a scope with an empty label              |
      | a scope of 300 letters                   |
      | a scope with a line separator            |
      | a scope that is not ASCII                |
      | an empty scope                           |
      | a concurrency of 10^30                   |
      | a concurrency of 0                       |
      | a warmup of 10^300 ms                    |
      | a warmup below 0                         |
      | a start of 10^30                         |
      | a start below 0                          |
      | an empty service                         |
      | a service that is a number               |
      | an unknown state                         |
      | a key with a line break                  |
      | a key that is not ASCII                  |
      | an empty key                             |
      | bytes that are no text                   |
      | no state                                 |

    Examples: An entry without its failure domain got requests while that domain was out
      | what                                     |
      | no zone                                  |
      | an empty zone                            |
      | a zone that is a number                  |
      | no concurrency                           |
      | no warmup                                |
      | no version                               |
      | a version that is a number               |
      | no sequence                              |
      | a sequence that is text                  |

  Scenario: Usual entries are read
    Then entries with IPv4, IPv6 and host name addresses are read

  Scenario: A configuration that cannot be read is rejected
    Then a configuration nested 100,000 deep raises a ValueError

  Scenario: Odd entries stop no instance from following the store
    Given 6 instances in 2 domains with readers, and 4 searchers
    When odd entries appear among the searchers, and then the configuration and a searcher change
    Then each instance that serves knows both changes within 2.5 s
