Feature: Free ports for listeners of tests and demonstrations

  Scenario: Processes that run at the same time are given different ports
    When 3 processes ask for 200 ports each in a range of 2000
    Then no port was given twice
    And none of them is claimed after these processes have ended
