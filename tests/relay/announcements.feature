Feature: A searcher that leaves gets no request some time before it stops serving
  Guards against requests to a searcher that has said that it leaves, or whose entry is gone, because
  what an instance knows of it is old.

  Scenario: A change that is written in the moment in which a watch ends is in the next answer
    When a change is written in the moment in which the wait of a watch ends, 40 times
    Then the next watch from the revision of its answer has the change each time

  Scenario Outline: A searcher that leaves is left alone by instances that have missed many changes
    Given 6 instances in 2 domains with readers, and 4 searchers
    And searchers that leave serve for 5 s more
    And an answer of the store has at most 50 changes
    And readers batch changes for as long as in a large fleet
    When the store turns <who> away for 9 s, in which 600 entries change
    And a searcher <leaves> 0.85 s after the end
    Then no instance uses that searcher 3.5 s later

    Examples:
      | who         | leaves            |
      | a reader    | says that it does |
      | a reader    | loses its entry   |
      | all readers | says that it does |
      | a follower  | loses its entry   |
      | all         | says that it does |

  Scenario Outline: Searchers that leave around faults are left alone within the bound
    Given <count> instances in 2 domains with readers, and 10 searchers
    And all connections go through proxies
    And searchers that leave serve for <drain> s more
    And readers batch changes for as long as in a large fleet
    When <faults>, while 9 searchers leave one after the other
    Then no other instance uses any of them later than the stated bound, which is below <drain> s

    Examples:
      | count | drain | faults                                                                                     |
      | 6     | 5     | nothing else happens                                                                       |
      | 6     | 5     | the connections of the readers to the store go silent                                      |
      | 6     | 5     | the links go silent                                                                        |
      | 6     | 5     | a reader is refused by the store                                                           |
      | 6     | 5     | a reader is cut off from the store                                                         |
      | 6     | 5     | all readers are cut off from the store                                                     |
      | 6     | 5     | a reader is killed                                                                         |
      | 6     | 5     | all readers are killed                                                                     |
      | 6     | 5     | the entries of the readers are removed                                                     |
      | 6     | 5     | all readers start again, all readers are cut off from the store                            |
      | 6     | 5     | the links go silent, all readers are cut off from the store                                |
      | 6     | 5     | the connections of the readers to the store go silent, a reader is killed                  |
      | 6     | 5     | a reader is killed, the links go silent                                                    |
      | 6     | 5     | the entries of the readers are removed, a reader is refused by the store                   |
      | 6     | 5     | all readers are killed, the links go silent, the connections of all to the store go silent |
      | 6     | 3     | a reader is refused by the store                                                           |
      | 6     | 3     | all readers are cut off from the store                                                     |
      | 6     | 3     | the links go silent                                                                        |
      | 6     | 6     | the links go silent, all readers are cut off from the store                                |
      | 3     | 3     | nothing else happens                                                                       |
      | 3     | 3     | the connections of all to the store go silent                                              |

  Scenario Outline: State of another instance is taken if its searchers are newer, and not if older
    Given an instance that the store turns away, which knows searchers up to revision 40
    When it pulls state with a leaving searcher from an instance whose <what>
    Then the leaving searcher is <result>

    Examples:
      | what                                       | result     |
      | searchers are newer                        | left out   |
      | searchers are newer, but not its instances | left out   |
      | searchers are older                        | still used |
