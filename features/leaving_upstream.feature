Feature: An upstream that is leaving receives no new work
  Work goes to the other upstreams of the service, whoever learns first that
  an upstream leaves.

  Scenario Outline: An upstream leaves by itself while its node keeps running
    Given the platform is <platform>
    When one upstream of the treasury reports that it is draining
    And workshops at once go on sending dues payments and lookups
    Then the leaving upstream runs none of them
    And each of them is answered
    And every other node comes to know that it leaves

    Examples:
      | platform |
      | up       |
      | down     |

  Scenario: Calls are forwarded before the other nodes are notified
    When one upstream of the treasury reports that it is draining
    And lookups reach its own node before the other nodes are notified
    Then its node forwards them and each of them is answered

  Scenario Outline: An operator drains a node
    Given the platform is <platform>
    When an operator drains one node of the treasury
    And workshops at once go on sending dues payments and lookups
    Then the leaving upstream runs none of them
    And each of them is answered
    And every other node comes to know that it leaves
    And its node ends by itself

    Examples:
      | platform |
      | up       |
      | down     |
