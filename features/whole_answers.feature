Feature: Each caller receives the whole answer to its own request
  Answers may come late and out of order, and downloads may break off.

  Scenario: Later lookups are answered before earlier payments
    Given dues lookups take long
    When workshops pay their dues, and others look theirs up once lookups are fast again
    Then later lookups were answered before earlier payments
    And each workshop gets the whole answer to its own request

  Scenario: A response arrives after its caller stopped waiting
    Given dues lookups take long
    When workshops look up their dues with little time left
    And others once lookups are fast again
    Then the first are told "unknown"
    And each other workshop gets the whole answer to its own lookup

  Scenario: The download of a finishing manual breaks off
    When makers fetch manuals until one download breaks off and resumes elsewhere
    Then every manual that looks complete is complete
