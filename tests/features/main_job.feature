Feature: Every flow reaches the right service, and its caller the whole answer

  Foremen stream tallies, clerks file tickets, and regulators pull ledgers,
  while balancers, targets and configuration change or fail.

  Background:
    Given the tally, ledger and pulse services under load

  Scenario Outline: Something changes or fails under load
    When <event>
    And the load has gone on for a while
    Then an established flow survives
    And a caller receives the whole answer to its own request
    And a packet reaches only its own service
    And a non-idempotent request runs at most once
    And what was told as not run was not run
    And what was told as done was finished
    And a leaving target receives no new work

    Examples:
      | event                                                          |
      | an entry is killed                                             |
      | an entry is stopped and another one joins                      |
      | a target drains                                                |
      | a changed configuration is accepted                            |
      | the configuration store goes down                              |
      | an entry is killed while a target drains and the store is down |
      | packets are lost, doubled and reordered                        |

  Scenario: Open connections go silent for good while new ones work
    When open connections go silent for good
    And the load has gone on for a while
    Then connections have gone on from new ports
    And an established flow survives
    And a caller receives the whole answer to its own request
    And a non-idempotent request runs at most once
    And what was told as not run was not run
