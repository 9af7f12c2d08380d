Feature: A planned stop interrupts no request
  Workshops pay dues and look them up without pause while a node or an
  upstream of the treasury is stopped as planned.

  Background:
    Given workshops pay dues and look them up without pause

  Scenario: A node is stopped
    When a node of the treasury is told to stop and has ended
    Then no request was interrupted, and each answer is whole and its caller's own
    And nobody was told "not run" of work that ran

  Scenario: An upstream is stopped and started again
    When an upstream of the treasury drains, stops and starts again
    Then no request was interrupted, and each answer is whole and its caller's own
    And nobody was told "not run" of work that ran
