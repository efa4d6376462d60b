Feature: Quotas that all instances keep together
  Guards against requests beyond a quota after kills, delayed messages, cut links or different lists
  of instances, and against requests within it that are refused.

  Scenario: Shares that are lent, renewed, given back and lost never add up to more than the quota
    Then in 300 random histories of 4 voters and 3 owners the grants keep the quota exactly

  Scenario: The tokens of a share do not come back after another owner has had it
    When a full share expires, another owner gets it, and then the first one again
    Then the first one has only what the share has earned since

  Scenario Outline: The sum over all instances stays in the bound through <trouble>
    Then with <size> instances and <trouble>, no window has more requests than allowed in 3 plays

    Examples:
      | size | trouble                     |
      | 5    | kills                       |
      | 20   | kills                       |
      | 20   | lists                       |
      | 5    | cuts                        |
      | 20   | cuts                        |
      | 5    | delays                      |
      | 20   | versions                    |
      | 5    | kills,lists,cuts,delays     |
      | 20   | kills,lists,cuts,delays     |

  Scenario Outline: Requests within the quota are served
    When <size> instances get requests at 0.8 of the rate for 20 s while <event>
    Then at most <refused> of them are refused, and they wait <wait> ms on average

    Examples:
      | size | event                 | refused | wait |
      | 3    | nothing happens       | 0       | 3    |
      | 61   | nothing happens       | 0       | 3    |
      | 30   | the owner is unlisted | 8       | 4    |
      | 30   | the owner restarts    | 2       | 4    |
      | 30   | the owner is killed   | 20      | 6    |

  Scenario: In calm most requests use a permit that is held in reserve
    Guards against requests with a short target that each wait for a message to the owner.
    When 6 instances get requests at 0.5 of the rate for 12 s, and for 20 s more
    Then at least 0.7 of the later requests wait for no message

  Scenario: Permits in reserve of two owners in a row do not add up
    Guards against a second owner whose bucket is older than the first one's last permits.
    When an owner that has long been ready gets the shares of another one
    Then it gives no permit into reserve until those of the other one have expired

  Scenario: A crowding workspace keeps its quota and takes nothing from others
    When 61 instances get five times the quota of one workspace and 0.6 of that of 9 others
    Then no request of the others is refused
    And the crowding one gets between 0.97 and 1.1 of its quota, within the bound

  Scenario: A permit that comes later than 100 ms after the question is not used
    When an instance gets requests for 20 s over links of 60 ms or more each way
    Then only its local allowance is used

  Scenario: An instance that has not read the list of instances does not grant a whole quota
    When an instance that knows no other one gets requests in its first 9 s
    Then only its local allowance is used

  Scenario: Workspaces without a limit send no message and leave no state
    When 3 instances get requests of a workspace without a limit
    Then no message was sent

  Scenario: The state of workspaces that send nothing is removed
    When 300 workspaces send a request and then one of them does after 100 s
    Then each instance has state of at most 2 workspaces

  Scenario: The bucket and the allowances together never grant more than may run in a window
    Guards against a bucket that uses the overshoot or the slack twice.
    Then any bucket with the allowances of 61 instances, used twice, stays within its quota
