Feature: "Not run" means that the work did not run
  A caller who is told "not run" may rely on it; where the work may have run,
  the caller is told "unknown".

  Scenario Outline: The table is down
    Given the table that keeps <payment>s is down
    When each entry gets a <payment> of a <payer>
    Then each is told that it did not run, and none ran
    When the table is back and the same payments are resent
    Then each is answered and ran once

    Examples:
      | payer          | payment      |
      | workshop       | dues payment |
      | film installer | completion   |

  Scenario: The treasury refuses work
    Given all upstreams of the treasury are full
    When each entry gets a dues payment of a workshop
    Then each is told that it did not run, and none ran
    When the treasury has capacity again and the same payments are resent
    Then each is answered and ran once

  Scenario: The treasury is down
    Given all upstreams of the treasury are down
    When each entry gets a dues payment of a workshop
    Then each is told that it did not run, and none ran

  Scenario: An upstream is killed while it runs a payment
    Given a dues payment takes long
    When a workshop sends a dues payment and the upstream that runs it is killed
    Then the workshop is told "unknown", because the payment may have run

  Scenario: The deadline of a lookup passes while it waits
    Given an estimator's long statements occupy billing
    When homeowners ask for deposits with little time left
    Then each that is told "not run" never runs
    And some of them were told "not run"
