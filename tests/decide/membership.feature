Feature: Membership and ownership of a cell
  Guards against two instances that dispatch to one backend server, and against backend servers
  that stay without an owner.

  Scenario: No schedule of faults lets two instances dispatch to one server
    When 40 random fault schedules run in simulated cells
    Then at least 10000 dispatches were checked for a second owner
