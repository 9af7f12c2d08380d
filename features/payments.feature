Feature: Payments and completions run at most once
  A completion, deposit, dues payment or order takes effect at most once,
  however often it is sent.

  Scenario Outline: A resend gets the first answer
    When a <payer> sends a <payment> and resends it over every entry
    Then every resend gets the first answer whole
    And the payment ran once

    Examples:
      | payer          | payment       |
      | workshop       | dues payment  |
      | workshop       | maker's order |
      | film estimator | deposit       |
      | film installer | completion    |

  Scenario Outline: All entries get the payment at the same time
    When a <payer> sends a <payment> to every entry at once
    Then every resend gets the first answer whole
    And the payment ran once

    Examples:
      | payer          | payment       |
      | workshop       | dues payment  |
      | film installer | completion    |

  Scenario Outline: A key is used again for other work
    When a <payer> sends a <payment> and another amount with the same key
    Then the second is refused as a reused key over every entry
    And the payment ran once

    Examples:
      | payer          | payment       |
      | workshop       | dues payment  |
      | film estimator | deposit       |

  Scenario Outline: The table loses the answers to its writes
    Given the table of <payment>s loses the answers to its writes
    When a <payer> sends a <payment> and resends it over every entry
    Then every resend gets the first answer whole
    And the payment ran once

    Examples:
      | payer          | payment       |
      | workshop       | dues payment  |
      | film estimator | deposit       |

  Scenario Outline: The node that runs the payment is killed
    Given a <payment> takes long
    When a <payer> sends a <payment> and the node that runs it is killed
    Then the payer is told that the outcome is unknown
    And every resend over the other entries is told the same
    And the payment ran once

    Examples:
      | payer          | payment       |
      | workshop       | dues payment  |
      | film estimator | deposit       |
