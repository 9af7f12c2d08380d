Feature: Content that crashes upstreams stops early
  Now and then one request crashes each upstream that runs it, and its caller
  sends it again. It may crash two upstreams; then it is refused.

  Scenario: A payment that crashes the treasury is resent
    When a workshop resends a dues payment that crashes upstreams until all entries refuse it
    Then it ran on at most 2 upstreams
    And every other dues payment sent in between was answered whole
