Feature: Partitions between instances
  Guards against two owners of a backend server, a minority that continues to dispatch, and a cell
  that needs an operator after a partition. The request ids in the searchers' journals identify the
  instance that sent each request.

  Scenario Outline: A minority of two instances <cut>
    Given a partitioned fleet of 5 instances under load
    When instances "entry-1, entry-2" <cut>
    Then no server gets work from them later than their lease allows
    And the other instances own all servers and answer queries completely
    And queries through them get correct answers
    When the partition heals
    Then all instances are in one view again and each server has an owner
    And no limit was exceeded and every answer was correct

    Examples:
      | cut                                     |
      | are cut from the others in both ways    |
      | cannot send to the others               |
      | cannot receive from the others          |
      | are cut from the others and the store   |

  Scenario: Two instances lose contact with each other only
    Given a partitioned fleet of 5 instances under load
    When instances "entry-1" and "entry-2" lose contact with each other
    Then each server has an owner again while they have no contact
    When the partition heals
    Then all instances are in one view again and each server has an owner
    And no limit was exceeded and every answer was correct
