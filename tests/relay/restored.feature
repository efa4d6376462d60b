Feature: The store returns from a copy that is some seconds old
  Guards against changes that are refused as older or missed because revisions go back and are given
  out again, against older state that is taken for newer, and against leases of other instances.

  Scenario Outline: A change after the restore is in force on all instances
    Given <count> instances in 2 domains with readers, and 4 searchers
    When the store is down for <down> s, returns from a copy 9 s old, and has <other> other changes
    Then each instance knows a later change of the configuration and a searcher within 3 s

    Examples:
      | count | down | other |
      | 3     | 2    | 0     |
      | 3     | 0    | 60    |
      | 3     | 2    | 60    |
      | 6     | 2    | 0     |
      | 6     | 0    | 60    |
      | 6     | 2    | 60    |

  Scenario Outline: What left or was taken out just before the restore is not used again
    Given <count> instances in 2 domains with readers, and 4 searchers
    When <what> 5 s before the store returns from a copy 9 s old, and is written again 3 s later
    Then no instance uses it after the restore

    Examples:
      | count | what                     |
      | 3     | a domain is taken out    |
      | 3     | a searcher drains        |
      | 3     | a searcher's entry goes  |
      | 6     | a domain is taken out    |
      | 6     | a searcher drains        |
      | 6     | a searcher's entry goes  |

  Scenario Outline: Instances are listed again under leases of their own
    Given <count> instances in 2 domains with readers, and 4 searchers
    When the store returns from a copy without their leases, whose numbers others get
    Then all instances are listed 6 s later, and none under a lease of the others

    Examples:
      | count |
      | 3     |
      | 6     |

  Scenario Outline: State of another instance is taken only if it is not older
    When an instance without the store knows <known> and another one shares <shared>
    Then the shared state is <result>

    Examples:
      | known              | shared             | result  |
      | era 1, revision 50 | era 1, revision 60 | taken   |
      | era 1, revision 50 | era 1, revision 40 | refused |
      | era 1, revision 50 | era 2, revision 10 | taken   |
      | era 2, revision 10 | era 1, revision 90 | refused |
      | nothing            | era 1, revision 10 | taken   |
